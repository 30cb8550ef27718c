/**
 * Distinguishes a crash of an upstream from the loss of connections to it: after a crash its address refuses connections.
 *
 * Planned stops and lost boxes do not count as crashes. An upstream that is draining is not checked, and a box that is down
 * or unreachable does not refuse connections.
 */
import { type InterruptedRequest, MAX_INTERRUPTED_REQUESTS } from "../../domain/upstreamEndCommands.js";
import { getIncarnationKey, type UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";

/** An upstream that crashed while it had requests of this router. */
export interface EndedUpstream {
    /** Key of the upstream process instance, see `getIncarnationKey`. */
    readonly life: string;
    /** When the first request was interrupted. Monotonic clock, milliseconds. */
    readonly interruptedAt: number;
    readonly requests: readonly InterruptedRequest[];
}

/** A process that exits may close its connections a few milliseconds before its listener. */
const LISTENER_RECHECK_DELAY_MS = 200;

interface PendingCheck {
    readonly interruptedAt: number;
    readonly requests: InterruptedRequest[];
}

export class UpstreamEndWatch {
    /** Process instances being checked, by key, with their interrupted requests. */
    private readonly pendingChecks = new Map<string, PendingCheck>();

    constructor(
        private readonly upstreams: DirectUpstreams,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly onEnded: (end: EndedUpstream) => void,
    ) {}

    /** Records a request that was interrupted by the loss of its connection. `upstream`: its newest known registration. */
    recordInterrupted(upstream: UpstreamRegistration, request: InterruptedRequest): void {
        if (upstream.state !== "ready") {
            return;
        }
        const life = getIncarnationKey(upstream);
        const pendingCheck = this.pendingChecks.get(life);
        if (pendingCheck === undefined) {
            this.pendingChecks.set(life, { interruptedAt: this.clock.getMonotonicMs(), requests: [request] });
            void this.checkListening(upstream, life);
        }
        else if (pendingCheck.requests.length < MAX_INTERRUPTED_REQUESTS) {
            pendingCheck.requests.push(request);
        }
    }

    private async checkListening({ id, address }: UpstreamRegistration, life: string): Promise<void> {
        let isListening = await this.upstreams.isListening(address);
        if (isListening === true) {
            await this.clock.wait(LISTENER_RECHECK_DELAY_MS);
            isListening = await this.upstreams.isListening(address);
        }
        const { interruptedAt, requests } = this.pendingChecks.get(life)!;
        this.pendingChecks.delete(life);
        if (isListening === false) {
            this.log.warn("upstream_ended", { upstream: id, address, broken: requests.length });
            this.onEnded({ life, interruptedAt, requests });
        }
    }
}
