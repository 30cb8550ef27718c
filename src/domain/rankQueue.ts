/**
 * The queue before one upstream: which waiting run goes next, and how long a new one would wait.
 *
 * The lower rank goes first; waiting lifts a run by one rank for each ageing period, so that none waits for ever. A rank
 * may keep a share of the slots, which other ranks leave free as long as it has not used them up.
 */

/** A run that waits. */
export interface QueueEntry {
    readonly rank: number;
    readonly ageingMs: number;
    /** Monotonic clock, milliseconds. */
    readonly enqueuedAt: number;
}

/** Weight of the newest run in the average run time. */
const NEWEST_WEIGHT = 0.1;
const FIRST_GUESS_MS = 1_000;

export class RankQueue<T extends QueueEntry> {
    private waiting: T[] = [];
    private readonly running = new Map<number, number>();
    private readonly runMs = new Map<number, number>();
    private keptSlots = new Map<number, number>();

    constructor(private slots: number) {}

    /** Sets how many runs go at once, and the fraction of them that each rank keeps. */
    setSlots(slots: number, keptShares: ReadonlyMap<number, number>): void {
        this.slots = slots;
        this.keptSlots = new Map();
        for (const [rank, share] of keptShares) {
            if (share > 0) {
                this.keptSlots.set(rank, Math.min(slots, Math.max(1, Math.floor(share * slots))));
            }
        }
    }

    getRunning(): number {
        let sum = 0;
        this.running.forEach(count => sum += count);
        return sum;
    }

    getWaiting(): number {
        return this.waiting.length;
    }

    add(entry: T): void {
        this.waiting.push(entry);
    }

    /** Takes a run out that no longer waits. */
    remove(entry: T): void {
        this.waiting = this.waiting.filter(other => other !== entry);
    }

    /** Takes every waiting run out. */
    removeAll(): T[] {
        const all = this.waiting;
        this.waiting = [];
        return all;
    }

    /** The run that may start now, counted as running; undefined when none may. */
    tryStartNext(now: number): T | undefined {
        let best: T | undefined;
        for (const entry of this.waiting) {
            if (this.hasSlotFor(entry.rank) && (best === undefined || isBefore(entry, best, now))) {
                best = entry;
            }
        }
        if (best !== undefined) {
            this.remove(best);
            this.running.set(best.rank, (this.running.get(best.rank) ?? 0) + 1);
        }
        return best;
    }

    /** Counts a run as ended after `ms` milliseconds of running. */
    recordEnd(rank: number, ms: number): void {
        this.running.set(rank, (this.running.get(rank) ?? 1) - 1);
        const before = this.runMs.get(rank);
        this.runMs.set(rank, before === undefined ? ms : before + (ms - before) * NEWEST_WEIGHT);
    }

    /** How long a new run of this rank would wait, in milliseconds, judged by the run times seen so far. */
    estimateWait(rank: number, ageingMs: number, now: number): number {
        if (this.hasSlotFor(rank) && !this.waiting.some(entry => entry.rank === rank)) {
            return 0;
        }
        const newcomer = { rank, ageingMs, enqueuedAt: now };
        let aheadMs = 0;
        for (const entry of this.waiting) {
            // Of those that came at the same moment, the one that was there first goes first.
            if (!isBefore(newcomer, entry, now)) {
                aheadMs += this.getRunMs(entry.rank);
            }
        }
        for (const [runningRank, count] of this.running) {
            // A running run is on average half done.
            aheadMs += count * this.getRunMs(runningRank) / 2;
        }
        return aheadMs / Math.max(1, this.getUsableSlots(rank));
    }

    /**
     * Whether a new run of this rank is likely to end within its deadline. One that would be cut off takes a slot from
     * those that would not; with only the wait held against the deadline, the queue fills up to where hardly any would.
     */
    couldEndWithin(deadlineMs: number, rank: number, ageingMs: number, now: number): boolean {
        const waitMs = this.estimateWait(rank, ageingMs, now);
        // Where nothing is in the way a run is tried: the guess of its length is worth less than that.
        return waitMs === 0 || waitMs + this.getRunMs(rank) <= deadlineMs;
    }

    private getRunMs(rank: number): number {
        return this.runMs.get(rank) ?? FIRST_GUESS_MS;
    }

    private getUsableSlots(rank: number): number {
        let keptByOthers = 0;
        this.keptSlots.forEach((kept, other) => keptByOthers += other === rank ? 0 : kept);
        return Math.max(1, this.slots - keptByOthers);
    }

    private hasSlotFor(rank: number): boolean {
        let free = this.slots - this.getRunning();
        for (const [other, kept] of this.keptSlots) {
            if (other !== rank) {
                free -= Math.max(0, kept - (this.running.get(other) ?? 0));
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

/** The rank after ageing; it keeps falling, so that even the lowest rank comes first in the end. */
function getEffectiveRank(entry: QueueEntry, now: number): number {
    return entry.rank - Math.floor((now - entry.enqueuedAt) / entry.ageingMs);
}
