/**
 * Finds out whether an upstream has ended under the requests that broke off there, or only their connections have: a router
 * sees the same of both. Where the upstream's address refuses connections, its process is gone.
 *
 * An end that a planned stop or the loss of a box explains is not looked for: an upstream that said it leaves is left out,
 * and a box that is gone or cut off refuses nothing.
 */
import { getLifeKey, type UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";

/** A request that broke off at an upstream. */
export interface BrokenRequest {
    /** What it asks and for whom, see requestFingerprint.ts. */
    readonly fingerprint: string;
    /** Whether the upstream had begun to answer it, so that it certainly ran. */
    readonly hasBegun: boolean;
}

/**
 * A process that ends may close its connections some milliseconds before its listener: one that still listens is looked at
 * once more after this time. Milliseconds.
 */
const LOOK_AGAIN_MS = 200;
/** Requests remembered of one upstream while it is looked at: more than run and wait at one. */
const MOST_BROKEN = 256;

export class UpstreamEndWatch {
    /** By the key of a life that is being looked at: what broke off there. */
    private readonly broken = new Map<string, BrokenRequest[]>();

    /** `onEnded`: called with the key of a life that has ended and what broke off at it. */
    constructor(
        private readonly upstreams: DirectUpstreams,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly onEnded: (life: string, requests: readonly BrokenRequest[]) => void,
    ) {}

    /** Notes a request that broke off with its connection. `upstream`: as it was last heard of. */
    noteBroken(upstream: UpstreamRegistration, request: BrokenRequest): void {
        if (upstream.state !== "ready") {
            return;
        }
        const life = getLifeKey(upstream);
        const waiting = this.broken.get(life);
        if (waiting === undefined) {
            this.broken.set(life, [request]);
            void this.look(upstream, life);
        }
        else if (waiting.length < MOST_BROKEN) {
            waiting.push(request);
        }
    }

    private async look({ id, address }: UpstreamRegistration, life: string): Promise<void> {
        let isListening = await this.upstreams.isListening(address);
        if (isListening === true) {
            await this.clock.wait(LOOK_AGAIN_MS);
            isListening = await this.upstreams.isListening(address);
        }
        const requests = this.broken.get(life) ?? [];
        this.broken.delete(life);
        if (isListening === false) {
            this.log.warn("upstream_ended", { upstream: id, address, broken: requests.length });
            this.onEnded(life, requests);
        }
    }
}
