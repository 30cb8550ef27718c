/**
 * Tracks a router's contact with the controllers, through which it receives the reports of upstreams, and decides how old
 * an upstream's last report may be.
 */

/** Times in milliseconds. */
export interface ControllerContactOptions {
    /** Time without a controller's response after which contact counts as lost. */
    readonly contactGapMs: number;
    /** An upstream without a report for this long counts as lost, as long as controllers can be reached. */
    readonly upstreamReportTimeoutMs: number;
}

/** All times are on the monotonic clock, in milliseconds. */
export class ControllerContact {
    private lastResponseAt = -Infinity;
    /** When the current period of contact began. */
    private reachableSince = -Infinity;
    private lastUpdateAt = -Infinity;

    constructor(private readonly options: ControllerContactOptions) {}

    /** Records that a controller responded. */
    recordResponse(now: number): void {
        if (now - this.lastResponseAt > this.options.contactGapMs) {
            this.reachableSince = now;
        }
        this.lastResponseAt = now;
    }

    /** Records that a controller listed which upstreams have not reported recently. */
    recordUpstreamUpdate(now: number): void {
        this.lastUpdateAt = now;
    }

    /** Whether a controller has responded recently. */
    isInContact(now: number): boolean {
        return now - this.lastResponseAt < this.options.contactGapMs;
    }

    getReachableSince(): number {
        return this.reachableSince;
    }

    /**
     * Returns the age of an upstream's last known report from which the upstream counts as lost. The time since the last
     * update does not count: the router would otherwise lose upstreams that report, whenever a poll is late.
     */
    getMaxUpstreamAgeMs(now: number): number {
        const { upstreamReportTimeoutMs } = this.options;
        // Upstream reports arrive through the controllers, so without contact upstreams keep their last known state.
        return this.isInContact(now) && now - this.reachableSince > upstreamReportTimeoutMs
            ? upstreamReportTimeoutMs + (now - this.lastUpdateAt)
            : Infinity;
    }
}
