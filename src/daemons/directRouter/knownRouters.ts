/**
 * Merges the lists of routers reported by the controllers. Each controller lists only its own followers, so lists are
 * incomplete after a network partition: a router is removed once no controller has listed it for `RETENTION_MS`.
 */
import type { RouterContact } from "../../domain/routerGroups.js";

const RETENTION_MS = 10_000;

interface KnownRouter {
    readonly contact: RouterContact;
    /** Monotonic clock, milliseconds. */
    readonly lastListedAt: number;
}

export class KnownRouters {
    private readonly routers = new Map<string, KnownRouter>();

    /** `self`: this router's address, which is excluded. */
    constructor(private readonly self: string) {}

    /** Records routers listed by a controller. `inContactSince`: start of uninterrupted contact with controllers. */
    record(routers: readonly RouterContact[], inContactSince: number, now: number): void {
        for (const contact of routers) {
            if (contact.address !== this.self) {
                this.routers.set(contact.address, { contact, lastListedAt: now });
            }
        }
        if (now - inContactSince > RETENTION_MS) {
            this.removeListedBefore(now - RETENTION_MS);
        }
    }

    list(): RouterContact[] {
        return [...this.routers.values()].map(({ contact }) => contact);
    }

    private removeListedBefore(time: number): void {
        for (const [router, { lastListedAt }] of this.routers) {
            if (lastListedAt < time) {
                this.routers.delete(router);
            }
        }
    }
}
