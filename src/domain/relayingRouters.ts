/**
 * What the routers that relay connections to this one have announced. A relaying router passes on bytes without parsing them, and so
 * cannot tell a silent request from a connection without one. This router, which serves the requests, ends the connections in its stead.
 */

/** An announcement of a router to those that it relays connections to. */
export interface RelayNotice {
    /** Identifies the process that relays; its connections begin with it. */
    readonly instance: string;
    /** Revision of its configuration; undefined before the first one. */
    readonly revision?: number | undefined;
    /** If it is stopping: time until it refuses further requests, in milliseconds. */
    readonly closesInMs?: number | undefined;
}

/** A connection that another router has relayed to this one. */
export interface RelayedInConnection {
    /** Process that relays it; undefined if that is of a version that does not tell. */
    readonly instance: string | undefined;
    /** Revision of this router's configuration when the connection was accepted. */
    readonly revision: number | undefined;
    /** When it was accepted. Monotonic clock, milliseconds. */
    readonly acceptedAt: number;
}

/** Number of processes whose announcements are stored. A zone has at most 16 routers that notify each other, and they restart. */
export const MAX_RELAYING_ROUTERS = 64;
/** Time for which callers may see an older configuration after a newer one, and in which a new one reaches all routers. */
export const REVISION_TOLERANCE_MS = 250;

interface Announced {
    readonly revision: number | undefined;
    readonly revisionAt: number;
    readonly closesAt: number | undefined;
}

/** All times are monotonic, in milliseconds. */
export class RelayingRouters {
    /** By instance, the least recently announced first. */
    private readonly announced = new Map<string, Announced>();
    private changedAt = -Infinity;

    /** Records an announcement. A stop is never taken back, and its earliest end holds. */
    recordNotice({ instance, revision, closesInMs }: RelayNotice, now: number): void {
        const last = this.announced.get(instance);
        const closesAt = closesInMs === undefined ? undefined : now + closesInMs;
        if (last?.revision !== revision || closesAt !== undefined) {
            this.changedAt = Math.max(now, closesAt ?? now);
        }
        this.announced.delete(instance);
        this.announced.set(instance, {
            revision,
            revisionAt: last !== undefined && last.revision === revision ? last.revisionAt : now,
            closesAt: last?.closesAt === undefined
                ? closesAt
                : Math.min(last.closesAt, closesAt ?? Infinity),
        });
        for (const oldest of this.announced.keys()) {
            if (this.announced.size <= MAX_RELAYING_ROUTERS) {
                break;
            }
            this.announced.delete(oldest);
        }
    }

    /** Returns when an announcement has last changed whether connections are closed, or will. */
    getChangedAt(): number {
        return this.changedAt;
    }

    /** Whether the router that relays a connection is stopping. One that does not tell may be at any time. */
    isStopping({ instance }: Pick<RelayedInConnection, "instance">): boolean {
        return instance === undefined || this.announced.get(instance)?.closesAt !== undefined;
    }

    /**
     * Whether no further request is served over a connection: its relaying router refuses them by now, or serves another configuration.
     * `ownRevision`, `ownRevisionAt`: of this router's configuration, and since when.
     */
    isClosed(
        { instance, revision, acceptedAt }: RelayedInConnection,
        ownRevision: number | undefined,
        ownRevisionAt: number,
        now: number,
    ): boolean {
        const announced = instance === undefined ? undefined : this.announced.get(instance);
        if (announced?.closesAt !== undefined && announced.closesAt <= now) {
            return true;
        }
        // What was announced before is outdated: connections are relayed only to routers that serve the same configuration.
        const isCurrent = announced !== undefined && announced.revisionAt >= acceptedAt;
        const changedAt = isCurrent ? Math.max(ownRevisionAt, announced.revisionAt) : ownRevisionAt;
        return (isCurrent ? announced.revision : revision) !== ownRevision && now - changedAt >= REVISION_TOLERANCE_MS;
    }
}
