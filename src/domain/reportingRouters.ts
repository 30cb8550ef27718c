/**
 * Counts the routers that report prepaid tokens. The ledger keeps the grants of a router that was lost until the router returns,
 * so its size would count routers that are gone for good, and shared limits would be divided among them.
 */

/**
 * Time without a report after which a router no longer counts: longer than a network partition between it and the
 * controllers, during which it uses its share. Milliseconds.
 */
const RETENTION_MS = 10_000;

/** All times are on the monotonic clock, in milliseconds. */
export class ReportingRouters {
    /** Time of each router's last report, the oldest first. Bounded by the grants of the ledger. */
    private readonly reportedAt = new Map<string, number>();

    recordReport(router: string, now: number): void {
        this.reportedAt.delete(router);
        this.reportedAt.set(router, now);
    }

    /** Records a router with a grant whose last report is unknown, because the state came from a snapshot. */
    recordGranted(router: string, now: number): void {
        if (!this.reportedAt.has(router)) {
            this.reportedAt.set(router, now);
        }
    }

    /** Records that a router has returned its grants. */
    recordClosed(router: string): void {
        this.reportedAt.delete(router);
    }

    count(now: number): number {
        for (const [router, at] of this.reportedAt) {
            if (now - at <= RETENTION_MS) {
                break;
            }
            this.reportedAt.delete(router);
        }
        return this.reportedAt.size;
    }
}
