/**
 * The other routers, as controllers name them. Each controller names those that follow it at the moment, so after a cut
 * every one of them knows only a part for a while: a router is forgotten only when none has named it for long.
 */

import type { RouterContact } from "../../domain/routerGroups.js";

/** How long a router is kept that no controller names though controllers are heard, in milliseconds. */
const KEEP_MS = 10_000;

interface KnownRouter {
    readonly contact: RouterContact;
    /** When a controller named it last. Monotonic clock, milliseconds. */
    readonly namedAt: number;
}

export class KnownRouters {
    private readonly known = new Map<string, KnownRouter>();

    /** `self`: this router's own address, which is left out. */
    constructor(private readonly self: string) {}

    /** Takes the routers that a controller names. `heardSince`: since when controllers have been heard without a gap. */
    record(routers: readonly RouterContact[], heardSince: number, now: number): void {
        for (const contact of routers) {
            if (contact.address !== this.self) {
                this.known.set(contact.address, { contact, namedAt: now });
            }
        }
        if (now - heardSince > KEEP_MS) {
            this.forgetNamedBefore(now - KEEP_MS);
        }
    }

    /** The other routers. */
    list(): RouterContact[] {
        return [...this.known.values()].map(({ contact }) => contact);
    }

    private forgetNamedBefore(time: number): void {
        for (const [router, { namedAt }] of this.known) {
            if (namedAt < time) {
                this.known.delete(router);
            }
        }
    }
}
