/**
 * Finds out whether an upstream has ended under the requests that broke off there, or only their connections have: a router
 * sees the same of both. Where the upstream's address refuses connections, its process is gone.
 *
 * An end that a planned stop or the loss of a box explains is not looked for: an upstream that said it leaves is left out,
 * and a box that is gone or cut off refuses nothing.
 */
import { type BrokenRequest, MOST_BROKEN_REQUESTS } from "../../domain/upstreamEndCommands.js";
import { getLifeKey, type UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";

/** An upstream that ended with requests of this router under way. */
export interface EndedUpstream {
    /** The key of the life that ended. */
    readonly life: string;
    /** When the first request broke off there. Monotonic clock, milliseconds. */
    readonly brokenAt: number;
    readonly requests: readonly BrokenRequest[];
}

/**
 * A process that ends may close its connections some milliseconds before its listener: one that still listens is looked at
 * once more after this time. Milliseconds.
 */
const LOOK_AGAIN_MS = 200;

interface BrokenUpstream {
    readonly brokenAt: number;
    readonly requests: BrokenRequest[];
}

export class UpstreamEndWatch {
    /** By the key of a life that is being looked at: what broke off there. */
    private readonly broken = new Map<string, BrokenUpstream>();

    constructor(
        private readonly upstreams: DirectUpstreams,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly onEnded: (end: EndedUpstream) => void,
    ) {}

    /** Notes a request that broke off with its connection. `upstream`: as it was last heard of. */
    noteBroken(upstream: UpstreamRegistration, request: BrokenRequest): void {
        if (upstream.state !== "ready") {
            return;
        }
        const life = getLifeKey(upstream);
        const broken = this.broken.get(life);
        if (broken === undefined) {
            this.broken.set(life, { brokenAt: this.clock.getMonotonicMs(), requests: [request] });
            void this.watchEnd(upstream, life);
        }
        else if (broken.requests.length < MOST_BROKEN_REQUESTS) {
            broken.requests.push(request);
        }
    }

    private async watchEnd({ id, address }: UpstreamRegistration, life: string): Promise<void> {
        let isListening = await this.upstreams.isListening(address);
        if (isListening === true) {
            await this.clock.wait(LOOK_AGAIN_MS);
            isListening = await this.upstreams.isListening(address);
        }
        const { brokenAt, requests } = this.broken.get(life)!;
        this.broken.delete(life);
        if (isListening === false) {
            this.log.warn("upstream_ended", { upstream: id, address, broken: requests.length });
            this.onEnded({ life, brokenAt, requests });
        }
    }
}
