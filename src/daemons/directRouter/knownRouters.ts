/**
 * The other routers, as controllers name them. Each controller names those that follow it at the moment, so after a cut
 * every one of them knows only a part for a while: a router is forgotten only when none has named it for long.
 */

/** How long a router is kept that no controller names though controllers are heard, in milliseconds. */
const KEEP_MS = 10_000;

export class KnownRouters {
    private readonly namedAt = new Map<string, number>();

    /** `self`: this router's own address, which is left out. */
    constructor(private readonly self: string) {}

    /** Takes the routers that a controller names. `heardSince`: since when controllers have been heard without a gap. */
    record(routers: readonly string[], heardSince: number, now: number): void {
        routers.filter(router => router !== this.self).forEach(router => this.namedAt.set(router, now));
        if (now - heardSince > KEEP_MS) {
            this.forgetNamedBefore(now - KEEP_MS);
        }
    }

    /** Addresses of the other routers. */
    list(): string[] {
        return [...this.namedAt.keys()];
    }

    private forgetNamedBefore(time: number): void {
        for (const [router, namedAt] of this.namedAt) {
            if (namedAt < time) {
                this.namedAt.delete(router);
            }
        }
    }
}
