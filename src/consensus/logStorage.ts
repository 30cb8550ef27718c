/** The replicated log on disk: term and vote, entries, and the snapshot that stands for the entries before it. */
import type { LogEntry, Replica } from "../domain/commands.js";
import type { StateSnapshot } from "../domain/declaredState.js";
import { WallClockMonitor } from "../domain/wallClockMonitor.js";
import { type Clock, SystemClock } from "../ports/clock.js";
import type { Journal, OpenedJournal } from "../ports/journal.js";
import { computeEntryLength, sumEntryLengths } from "./entryLength.js";

/** A state with the place in the log it stands for. */
export interface LogSnapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly state: StateSnapshot;
    /** The replicas at that place; left out where they are fixed by settings. */
    readonly replicas?: readonly Replica[];
}

type StoredRecord =
    | { readonly type: "member"; }
    | { readonly type: "term"; readonly term: number; readonly votedFor?: string; }
    | { readonly type: "entries"; readonly entries: readonly LogEntry[]; readonly takenWallMs?: number; }
    /** The times of day noted before it say nothing any more. `aheadMs`: how far the steps so far come to. */
    | { readonly type: "clockStep"; readonly aheadMs: number; }
    | { readonly type: "taken"; readonly wallMs: readonly (readonly [number, number])[]; }
    | { readonly type: "snapshot"; readonly snapshot: LogSnapshot; };

/** When an entry was taken. */
interface TakenTime {
    /** Undefined where the box's time of day could not be gone by, or has stepped since. */
    readonly wallMs: number | undefined;
    /**
     * On the monotonic clock, and what that may have missed. Undefined where an earlier process took it: nobody can tell
     * whether the box's clock has run on since.
     */
    readonly elapsedMs: number | undefined;
}

/** Of how many entries it is remembered when they were taken. */
const TAKEN_TIMES = 4_096;

/** Holds the log in memory as it is on disk. Every method that returns a promise resolves once synced. */
export class LogStorage {
    term = 0;
    votedFor: string | undefined;
    snapshot: LogSnapshot | undefined;
    /** Index up to which everything is synced. */
    syncedIndex = 0;
    /** Whether this replica may vote; false on a new or emptied disk until it has joined. */
    isMember = false;
    /** The replicas as of the newest entry here; empty where no entry has named any. */
    replicas: readonly Replica[] = [];
    private entries: LogEntry[] = [];
    private lengthAfterSnapshot = 0;
    private readonly journal: Journal;
    private lastWrite: Promise<void> = Promise.resolve();
    private readonly takenTimes = new Map<number, TakenTime>();
    private readonly timeOfDay = new WallClockMonitor();

    constructor(opened: OpenedJournal, private readonly clock: Clock = new SystemClock()) {
        this.journal = opened.journal;
        (opened.records as readonly StoredRecord[]).forEach(record => this.load(record));
        this.syncedIndex = this.getLastIndex();
        this.replicas = this.findReplicas(this.getLastIndex());
    }

    /**
     * Milliseconds since this replica took the entry at `index`, undefined where it cannot say: as measured where this process
     * took it, else by the box's time of day, which may have stepped while no process ran.
     */
    tryGetMsSinceTaken(index: number): number | undefined {
        const taken = this.takenTimes.get(index);
        const measuredMs = this.tryMeasureSinceTaken(index);
        if (measuredMs !== undefined) {
            return measuredMs;
        }
        return taken?.wallMs === undefined ? undefined : this.clock.getWallMs() - taken.wallMs;
    }

    /**
     * The same where this process took it: on the monotonic clock, with the time that the box may have been suspended for. By
     * the monotonic clock alone a leader that had been suspended gave back tokens that were spent meanwhile.
     */
    tryMeasureSinceTaken(index: number): number | undefined {
        const elapsedMs = this.takenTimes.get(index)?.elapsedMs;
        return elapsedMs === undefined ? undefined : this.getElapsedMs() - elapsedMs;
    }

    /**
     * When the box's monotonic clock last missed time, as far as can be told (see `TimeOfDayWatch`): what was heard before is
     * older than it looks. On that clock, milliseconds.
     */
    getMissedAt(): number {
        return this.timeOfDay.getLastMissedAt(this.clock.getWallMs(), this.clock.getMonotonicMs());
    }

    private getElapsedMs(): number {
        const monotonicMs = this.clock.getMonotonicMs();
        return monotonicMs + this.timeOfDay.getMissedMs(this.clock.getWallMs(), monotonicMs);
    }

    /** Looks whether the box's time of day has stepped; resolves once that is saved. */
    async observeClock(): Promise<void> {
        if (this.timeOfDay.observe(this.clock.getWallMs(), this.clock.getMonotonicMs())) {
            this.forgetTimesOfDay();
            await this.write({ type: "clockStep", aheadMs: this.timeOfDay.getStepOffsetMs() });
        }
    }

    /** How far the steps of the box's time of day come to, in milliseconds; 0 once they have been taken back. */
    getClockAheadMs(): number {
        return this.timeOfDay.getStepOffsetMs();
    }

    getLastIndex(): number {
        return this.entries[this.entries.length - 1]?.index ?? this.getSnapshotIndex();
    }

    /** The replicas as of the entry at `index`. */
    findReplicas(index: number): readonly Replica[] {
        for (let i = index; i > this.getSnapshotIndex(); i--) {
            const command = this.tryGetEntry(i)?.command;
            if (command?.type === "setReplicas") {
                return command.replicas;
            }
        }
        return this.snapshot?.replicas ?? [];
    }

    /** Index of the newest entry that names replicas, or the snapshot's where none after it does. */
    findReplicasIndex(): number {
        for (let i = this.getLastIndex(); i > this.getSnapshotIndex(); i--) {
            if (this.tryGetEntry(i)?.command.type === "setReplicas") {
                return i;
            }
        }
        return this.getSnapshotIndex();
    }

    getSnapshotIndex(): number {
        return this.snapshot?.lastIndex ?? 0;
    }

    /** Term of the entry at `index`, or undefined where the log does not hold it. */
    tryGetTerm(index: number): number | undefined {
        if (index === this.getSnapshotIndex()) {
            return this.snapshot?.lastTerm ?? 0;
        }
        return this.tryGetEntry(index)?.term;
    }

    tryGetEntry(index: number): LogEntry | undefined {
        return this.entries[index - this.getSnapshotIndex() - 1];
    }

    /** Up to `limit` entries from `index` on, which are `maxLength` characters long at the most or a single one. */
    getEntriesFrom(index: number, limit: number, maxLength: number): LogEntry[] {
        const start = index - this.getSnapshotIndex() - 1;
        const entries = this.entries.slice(start, start + limit);
        let length = 0;
        const end = entries.findIndex((entry, i) => {
            length += computeEntryLength(entry);
            return i > 0 && length > maxLength;
        });
        return end < 0 ? entries : entries.slice(0, end);
    }

    /** Length of the entries after the snapshot, in characters. */
    getLengthAfterSnapshot(): number {
        return this.lengthAfterSnapshot;
    }

    /** Where a leader should try next, if the entry before its new ones is not the same here. */
    tryGetMismatch(previousIndex: number, previousTerm: number): number | undefined {
        if (previousIndex < this.getSnapshotIndex()) {
            return this.getSnapshotIndex() + 1;
        }
        const term = this.tryGetTerm(previousIndex);
        if (term === previousTerm) {
            return undefined;
        }
        if (term === undefined) {
            return this.getLastIndex() + 1;
        }
        let index = previousIndex;
        while (index > this.getSnapshotIndex() + 1 && this.tryGetTerm(index - 1) === term) {
            index -= 1;
        }
        return index;
    }

    /** The entries from the first one on that is not here yet, so that a late copy of an append drops nothing. */
    getNewEntries(entries: readonly LogEntry[]): readonly LogEntry[] {
        const first = entries.findIndex(entry => this.tryGetTerm(entry.index) !== entry.term);
        return first < 0 ? [] : entries.slice(first);
    }

    async saveTerm(term: number, votedFor: string | undefined): Promise<void> {
        this.term = term;
        this.votedFor = votedFor;
        await this.write({ type: "term", term, ...(votedFor === undefined ? {} : { votedFor }) });
    }

    /** Notes that this replica has joined and may vote. */
    async saveMembership(): Promise<void> {
        this.isMember = true;
        await this.write({ type: "member" });
    }

    /** Resolves once everything saved so far is synced, also by calls that came before. */
    async waitSynced(): Promise<void> {
        await this.lastWrite;
    }

    /** Appends entries, dropping whatever stood at or after the first one's index. */
    async append(entries: readonly LogEntry[]): Promise<void> {
        if (entries.length === 0) {
            return;
        }
        this.placeEntries(entries);
        this.syncedIndex = Math.min(this.syncedIndex, entries[0]!.index - 1);
        const stepSaved = this.observeClock();
        const monotonicMs = this.clock.getMonotonicMs();
        const wallMs = this.timeOfDay.isTrusted(monotonicMs) ? this.clock.getWallMs() : undefined;
        this.noteTaken(entries, { wallMs, elapsedMs: this.getElapsedMs() });
        const takenWallMs = wallMs === undefined ? {} : { takenWallMs: wallMs };
        await Promise.all([stepSaved, this.write({ type: "entries", entries, ...takenWallMs })]);
        const last = entries[entries.length - 1]!;
        if (this.tryGetTerm(last.index) === last.term) {
            this.syncedIndex = Math.max(this.syncedIndex, last.index);
        }
    }

    /** Takes a snapshot in place of the entries up to it. */
    async saveSnapshot(snapshot: LogSnapshot): Promise<void> {
        const keep = this.tryGetTerm(snapshot.lastIndex) === snapshot.lastTerm;
        const rest = keep ? this.entries.filter(entry => entry.index > snapshot.lastIndex) : [];
        this.snapshot = snapshot;
        this.entries = rest;
        this.lengthAfterSnapshot = sumEntryLengths(rest);
        this.replicas = this.findReplicas(this.getLastIndex());
        this.lastWrite = this.journal.replaceAll([
            ...(this.isMember ? [{ type: "member" }] : []),
            { type: "snapshot", snapshot },
            { type: "term", term: this.term, ...(this.votedFor === undefined ? {} : { votedFor: this.votedFor }) },
            ...(rest.length > 0 ? [{ type: "entries", entries: rest }] : []),
            { type: "clockStep", aheadMs: this.timeOfDay.getStepOffsetMs() },
            { type: "taken", wallMs: this.listTimesOfDay() },
        ]);
        await this.lastWrite;
        this.syncedIndex = Math.max(this.syncedIndex, this.snapshot.lastIndex);
    }

    async close(): Promise<void> {
        await this.journal.close();
    }

    private write(record: StoredRecord): Promise<void> {
        this.lastWrite = this.journal.append(record);
        return this.lastWrite;
    }

    private load(record: StoredRecord): void {
        switch (record.type) {
            case "member":
                this.isMember = true;
                return;
            case "term":
                this.term = record.term;
                this.votedFor = record.votedFor;
                return;
            case "entries":
                if (record.takenWallMs !== undefined) {
                    this.noteTaken(record.entries, { wallMs: record.takenWallMs, elapsedMs: undefined });
                }
                return this.placeEntries(record.entries);
            case "clockStep":
                this.timeOfDay.restoreOffset(record.aheadMs);
                return this.forgetTimesOfDay();
            case "taken":
                for (const [index, wallMs] of record.wallMs) {
                    this.takenTimes.set(index, { wallMs, elapsedMs: undefined });
                }
                return;
            case "snapshot":
                this.snapshot = record.snapshot;
                this.entries = [];
                this.lengthAfterSnapshot = 0;
                return;
        }
    }

    private forgetTimesOfDay(): void {
        this.takenTimes.forEach(({ elapsedMs }, index) => {
            this.takenTimes.set(index, { wallMs: undefined, elapsedMs });
        });
    }

    private listTimesOfDay(): (readonly [number, number])[] {
        return [...this.takenTimes].flatMap(([index, { wallMs }]) =>
            wallMs === undefined ? [] : [[index, wallMs] as const]
        );
    }

    private noteTaken(entries: readonly LogEntry[], taken: TakenTime): void {
        for (const entry of entries) {
            this.takenTimes.delete(entry.index);
            this.takenTimes.set(entry.index, taken);
        }
        while (this.takenTimes.size > TAKEN_TIMES) {
            this.takenTimes.delete(this.takenTimes.keys().next().value!);
        }
    }

    private placeEntries(entries: readonly LogEntry[]): void {
        const start = entries[0]!.index - this.getSnapshotIndex() - 1;
        const dropped = this.entries.splice(Math.max(0, start));
        for (const entry of entries) {
            this.entries.push(entry);
        }
        this.lengthAfterSnapshot += sumEntryLengths(entries) - sumEntryLengths(dropped);
        if ([...dropped, ...entries].some(entry => entry.command.type === "setReplicas")) {
            this.replicas = this.findReplicas(this.getLastIndex());
        }
    }
}
