/**
 * Priority queue of the runs waiting for one upstream, with wait time estimates.
 *
 * Lower ranks start first. Each ageing period of waiting lowers the effective rank by one, which prevents starvation. A rank
 * can reserve a share of the slots, which other ranks leave free.
 */

/** A waiting run. */
export interface QueueEntry {
    readonly rank: number;
    readonly ageingMs: number;
    /** Monotonic clock, in milliseconds. */
    readonly enqueuedAt: number;
}

/** Weight of the latest run in the exponential moving average of run times. */
const RUN_TIME_SMOOTHING_FACTOR = 0.1;
const INITIAL_RUN_ESTIMATE_MS = 1_000;

export class RankQueue<T extends QueueEntry> {
    private waiting: T[] = [];
    private readonly runningByRank = new Map<number, number>();
    private readonly averageRunMs = new Map<number, number>();
    private reservedSlots = new Map<number, number>();

    constructor(private slots: number) {}

    /** Sets the number of concurrent runs and the fraction of them that is reserved for each rank. */
    setSlots(slots: number, reservedShares: ReadonlyMap<number, number>): void {
        this.slots = slots;
        this.reservedSlots = new Map();
        for (const [rank, share] of reservedShares) {
            if (share > 0) {
                this.reservedSlots.set(rank, Math.min(slots, Math.max(1, Math.floor(share * slots))));
            }
        }
    }

    getRunningCount(): number {
        let sum = 0;
        this.runningByRank.forEach(count => sum += count);
        return sum;
    }

    getWaitingCount(): number {
        return this.waiting.length;
    }

    add(entry: T): void {
        this.waiting.push(entry);
    }

    remove(entry: T): void {
        this.waiting = this.waiting.filter(other => other !== entry);
    }

    removeAll(): T[] {
        const all = this.waiting;
        this.waiting = [];
        return all;
    }

    /** Dequeues the next run that may start and counts it as running; undefined if none may. */
    tryStartNext(now: number): T | undefined {
        let best: T | undefined;
        for (const entry of this.waiting) {
            if (this.hasSlotFor(entry.rank) && (best === undefined || isBefore(entry, best, now))) {
                best = entry;
            }
        }
        if (best !== undefined) {
            this.remove(best);
            this.runningByRank.set(best.rank, (this.runningByRank.get(best.rank) ?? 0) + 1);
        }
        return best;
    }

    /**
     * Records that a run ended after `ms` milliseconds. `isComplete`: false if it was cut off, by its deadline or its caller.
     * Such a run would have taken longer, so it raises the average but does not lower it: otherwise runs that are cut off early
     * make the average short, more are admitted that cannot finish, and hardly any finishes while the upstream is slow.
     */
    recordEnd(rank: number, ms: number, isComplete: boolean): void {
        this.runningByRank.set(rank, (this.runningByRank.get(rank) ?? 1) - 1);
        const previousAverage = this.averageRunMs.get(rank);
        if (!isComplete && ms < this.getAverageRunMs(rank)) {
            return;
        }
        this.averageRunMs.set(
            rank,
            previousAverage === undefined ? ms : previousAverage + (ms - previousAverage) * RUN_TIME_SMOOTHING_FACTOR,
        );
    }

    /** Estimates how long a new run of this rank would wait, in milliseconds, from the average run times. */
    estimateWait(rank: number, ageingMs: number, now: number): number {
        if (this.hasSlotFor(rank) && !this.waiting.some(entry => entry.rank === rank)) {
            return 0;
        }
        const newEntry = { rank, ageingMs, enqueuedAt: now };
        let aheadMs = 0;
        for (const entry of this.waiting) {
            // Runs enqueued at the same time start in the order in which they were added.
            if (!isBefore(newEntry, entry, now)) {
                aheadMs += this.getAverageRunMs(entry.rank);
            }
        }
        for (const [runningRank, count] of this.runningByRank) {
            // On average, half of a running run remains.
            aheadMs += count * this.getAverageRunMs(runningRank) / 2;
        }
        return aheadMs / Math.max(1, this.getUsableSlots(rank));
    }

    /**
     * Whether a new run of this rank is expected to finish within its deadline. Considering only the wait would fill the queue
     * with runs that are cut off by their deadline and waste the slot.
     */
    canFinishWithin(deadlineMs: number, rank: number, ageingMs: number, now: number): boolean {
        const waitMs = this.estimateWait(rank, ageingMs, now);
        // With a free slot, the run is tried even if the average run time exceeds the deadline.
        return waitMs === 0 || waitMs + this.getAverageRunMs(rank) <= deadlineMs;
    }

    private getAverageRunMs(rank: number): number {
        return this.averageRunMs.get(rank) ?? INITIAL_RUN_ESTIMATE_MS;
    }

    private getUsableSlots(rank: number): number {
        let reservedByOthers = 0;
        this.reservedSlots.forEach((reserved, other) => reservedByOthers += other === rank ? 0 : reserved);
        return Math.max(1, this.slots - reservedByOthers);
    }

    private hasSlotFor(rank: number): boolean {
        let free = this.slots - this.getRunningCount();
        for (const [other, reserved] of this.reservedSlots) {
            if (other !== rank) {
                free -= Math.max(0, reserved - (this.runningByRank.get(other) ?? 0));
            }
        }
        return free >= 1;
    }
}

function isBefore(a: QueueEntry, b: QueueEntry, now: number): boolean {
    const rankA = getEffectiveRank(a, now);
    const rankB = getEffectiveRank(b, now);
    return rankA < rankB || (rankA === rankB && a.enqueuedAt < b.enqueuedAt);
}

/** Rank after ageing. It decreases without limit, so every run is started eventually. */
function getEffectiveRank(entry: QueueEntry, now: number): number {
    return entry.rank - Math.floor((now - entry.enqueuedAt) / entry.ageingMs);
}
