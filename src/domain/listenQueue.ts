/**
 * Bounds when a connection arrived that waited to be accepted. The system does not tell, and an event loop accepts one connection of
 * a listener each time it polls for I/O, so that the last of a full queue may have waited for seconds.
 *
 * The queue is in order of arrival and of limited length. A connection that is accepted now therefore arrived after the last moment at
 * which nothing waited, and after the acceptance of the connection that was as many places before it as the queue has.
 */

/** When a connection arrived. Monotonic clock, milliseconds. */
export interface ArrivalBounds {
    readonly earliestAt: number;
    /** In the middle of what is possible. */
    readonly estimatedAt: number;
}

/**
 * Time after which the system has sent what it dropped from a full queue again, or has given the connection up, in milliseconds: its
 * fourth repetition comes after 15 s.
 */
const OVERFLOW_MEMORY_MS = 16_000;

/** All times are monotonic, in milliseconds. */
export class ListenQueue {
    /** When the last `capacity` connections were accepted since the queue was empty, the earliest first. */
    private readonly acceptedAt: number[] = [];
    private emptyAt: number;
    private lastEstimatedAt = -Infinity;
    private fullAt = -Infinity;

    /** `capacity`: maximum number of connections that wait. */
    constructor(private readonly capacity: number, now: number) {
        this.emptyAt = now;
    }

    /** Records that no connection was waiting at `now`. */
    recordEmpty(now: number): void {
        this.emptyAt = Math.max(this.emptyAt, now);
        this.acceptedAt.length = 0;
        this.lastEstimatedAt = -Infinity;
    }

    /**
     * Records that a connection is accepted at `now`. `readAt`: estimated arrival of what the event loop found by the same poll.
     * `earliestReadAt`: earliest possible arrival of it. Both hold for a connection that did not wait behind others.
     */
    recordAccepted(now: number, readAt: number, earliestReadAt: number): ArrivalBounds {
        const hasWaited = this.acceptedAt.length > 0;
        if (!hasWaited) {
            this.emptyAt = Math.max(this.emptyAt, earliestReadAt);
        }
        const isFull = this.acceptedAt.length === this.capacity;
        const earliestAt = isFull ? Math.max(this.emptyAt, this.acceptedAt.shift()!) : this.emptyAt;
        this.acceptedAt.push(now);
        this.fullAt = this.acceptedAt.length === this.capacity ? now : this.fullAt;
        const foundAt = hasWaited ? Math.min(readAt, (earliestAt + now) / 2) : readAt;
        const estimatedAt = Math.max(this.lastEstimatedAt, foundAt);
        this.lastEstimatedAt = estimatedAt;
        return { earliestAt: Math.min(earliestAt, estimatedAt), estimatedAt };
    }

    /**
     * Whether the queue may have been full so recently that the system may have dropped the last packets of a connection's setup, and with them
     * what its caller has sent. The caller takes such a connection for established.
     */
    mayHaveOverflowed(now: number): boolean {
        return now - this.fullAt < OVERFLOW_MEMORY_MS;
    }
}
