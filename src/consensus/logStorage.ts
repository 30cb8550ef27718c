/** Persistent state of the replicated log: term, vote, entries, and the snapshot that replaces earlier entries. */
import type { LogEntry, Replica } from "../domain/commands.js";
import type { StateSnapshot } from "../domain/declaredState.js";
import { WallClockMonitor } from "../domain/wallClockMonitor.js";
import { type Clock, SystemClock } from "../ports/clock.js";
import type { Journal, OpenedJournal } from "../ports/journal.js";
import { computeEntryLength, sumEntryLengths } from "./entryLength.js";

/** State after all entries up to `lastIndex`. */
export interface LogSnapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly state: StateSnapshot;
    /** The replica set at `lastIndex`; omitted if it is fixed by the settings. */
    readonly replicas?: readonly Replica[];
}

type StoredRecord =
    | { readonly type: "member"; }
    | { readonly type: "term"; readonly term: number; readonly votedFor?: string; }
    | { readonly type: "entries"; readonly entries: readonly LogEntry[]; readonly takenWallMs?: number; }
    /** Invalidates the wall clock times recorded before it. `aheadMs`: sum of the steps so far. */
    | { readonly type: "clockStep"; readonly aheadMs: number; }
    | { readonly type: "taken"; readonly wallMs: readonly (readonly [number, number])[]; }
    | { readonly type: "snapshot"; readonly snapshot: LogSnapshot; };

/** When this replica appended an entry. */
interface AppendTime {
    /** Undefined if the wall clock was not reliable at the time, or has stepped since. */
    readonly wallMs: number | undefined;
    /** On the monotonic clock corrected for suspensions. Undefined if an earlier process appended the entry. */
    readonly elapsedMs: number | undefined;
}

/** Number of entries whose append time is kept. */
const MAX_APPEND_TIMES = 4_096;

/** Keeps a copy of the log in memory. Promises returned by its methods resolve once the data is synced. */
export class LogStorage {
    term = 0;
    votedFor: string | undefined;
    snapshot: LogSnapshot | undefined;
    /** Index up to which all entries are synced. */
    syncedIndex = 0;
    /** Whether this replica may vote; false on a new or erased disk until it has joined. */
    isMember = false;
    /** The replica set as of the last entry; empty if no entry defines one. */
    replicas: readonly Replica[] = [];
    private entries: LogEntry[] = [];
    private lengthAfterSnapshot = 0;
    private readonly journal: Journal;
    private lastWrite: Promise<void> = Promise.resolve();
    private readonly appendTimes = new Map<number, AppendTime>();
    private readonly wallClockMonitor = new WallClockMonitor();

    constructor(opened: OpenedJournal, private readonly clock: Clock = new SystemClock()) {
        this.journal = opened.journal;
        (opened.records as readonly StoredRecord[]).forEach(record => this.replayRecord(record));
        this.syncedIndex = this.getLastIndex();
        this.replicas = this.findReplicas(this.getLastIndex());
    }

    /**
     * Returns the milliseconds since this replica appended the entry at `index`, or undefined if unknown. Measured if this
     * process appended it; otherwise by the wall clock, which may have stepped while no process was running.
     */
    tryGetAgeMs(index: number): number | undefined {
        const appendTime = this.appendTimes.get(index);
        const measuredMs = this.tryMeasureAgeMs(index);
        if (measuredMs !== undefined) {
            return measuredMs;
        }
        return appendTime?.wallMs === undefined ? undefined : this.clock.getWallMs() - appendTime.wallMs;
    }

    /**
     * Like `tryGetAgeMs`, but only for entries that this process appended. Includes the time for which the box may have been
     * suspended, which the monotonic clock misses: an age that is too short would release tokens that were already spent.
     */
    tryMeasureAgeMs(index: number): number | undefined {
        const elapsedMs = this.appendTimes.get(index)?.elapsedMs;
        return elapsedMs === undefined ? undefined : this.getElapsedMs() - elapsedMs;
    }

    /**
     * Returns when the monotonic clock last appears to have missed time, on that clock in milliseconds (see
     * `WallClockMonitor`). Anything received before then is older than its timestamp suggests.
     */
    getLastMissedAt(): number {
        return this.wallClockMonitor.getLastMissedAt(this.clock.getWallMs(), this.clock.getMonotonicMs());
    }

    private getElapsedMs(): number {
        const monotonicMs = this.clock.getMonotonicMs();
        return monotonicMs + this.wallClockMonitor.getMissedMs(this.clock.getWallMs(), monotonicMs);
    }

    /** Checks whether the wall clock has stepped; resolves once a step is saved. */
    async observeClock(): Promise<void> {
        if (this.wallClockMonitor.observe(this.clock.getWallMs(), this.clock.getMonotonicMs())) {
            this.clearWallTimes();
            await this.write({ type: "clockStep", aheadMs: this.wallClockMonitor.getStepOffsetMs() });
        }
    }

    /** Returns the sum of the wall clock's steps in milliseconds; 0 once they have been reversed. */
    getClockOffsetMs(): number {
        return this.wallClockMonitor.getStepOffsetMs();
    }

    getLastIndex(): number {
        return this.entries[this.entries.length - 1]?.index ?? this.getSnapshotIndex();
    }

    /** Returns the replica set as of the entry at `index`. */
    findReplicas(index: number): readonly Replica[] {
        for (let i = index; i > this.getSnapshotIndex(); i--) {
            const command = this.tryGetEntry(i)?.command;
            if (command?.type === "setReplicas") {
                return command.replicas;
            }
        }
        return this.snapshot?.replicas ?? [];
    }

    /** Returns the index of the latest `setReplicas` entry, or of the snapshot if none follows it. */
    findReplicaSetIndex(): number {
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

    /** Returns the term of the entry at `index`, or undefined if the log does not contain it. */
    tryGetTerm(index: number): number | undefined {
        if (index === this.getSnapshotIndex()) {
            return this.snapshot?.lastTerm ?? 0;
        }
        return this.tryGetEntry(index)?.term;
    }

    tryGetEntry(index: number): LogEntry | undefined {
        return this.entries[index - this.getSnapshotIndex() - 1];
    }

    /** Returns up to `limit` entries from `index` on, of at most `maxLength` characters in total unless it is a single entry. */
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

    /** Returns the length of the entries after the snapshot in characters. */
    getLengthAfterSnapshot(): number {
        return this.lengthAfterSnapshot;
    }

    /** Returns the index the leader should try next if the entry preceding its new ones does not match; else undefined. */
    tryFindConflictIndex(previousIndex: number, previousTerm: number): number | undefined {
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

    /** Skips entries the log already contains, so that a delayed duplicate of an append truncates nothing. */
    getNewEntries(entries: readonly LogEntry[]): readonly LogEntry[] {
        const first = entries.findIndex(entry => this.tryGetTerm(entry.index) !== entry.term);
        return first < 0 ? [] : entries.slice(first);
    }

    async saveTerm(term: number, votedFor: string | undefined): Promise<void> {
        this.term = term;
        this.votedFor = votedFor;
        await this.write({ type: "term", term, ...(votedFor === undefined ? {} : { votedFor }) });
    }

    /** Records that this replica has joined and may vote. */
    async saveMembership(): Promise<void> {
        this.isMember = true;
        await this.write({ type: "member" });
    }

    /** Resolves once all earlier writes are synced. */
    async waitSynced(): Promise<void> {
        await this.lastWrite;
    }

    /** Appends entries, truncating the log at the first one's index. */
    async append(entries: readonly LogEntry[]): Promise<void> {
        if (entries.length === 0) {
            return;
        }
        this.insertEntries(entries);
        this.syncedIndex = Math.min(this.syncedIndex, entries[0]!.index - 1);
        const stepWrite = this.observeClock();
        const monotonicMs = this.clock.getMonotonicMs();
        const wallMs = this.wallClockMonitor.isTrusted(monotonicMs) ? this.clock.getWallMs() : undefined;
        this.recordAppendTime(entries, { wallMs, elapsedMs: this.getElapsedMs() });
        const takenWallMs = wallMs === undefined ? {} : { takenWallMs: wallMs };
        await Promise.all([stepWrite, this.write({ type: "entries", entries, ...takenWallMs })]);
        const last = entries[entries.length - 1]!;
        if (this.tryGetTerm(last.index) === last.term) {
            this.syncedIndex = Math.max(this.syncedIndex, last.index);
        }
    }

    /** Replaces the entries up to the snapshot with it. */
    async saveSnapshot(snapshot: LogSnapshot): Promise<void> {
        const isPrefix = this.tryGetTerm(snapshot.lastIndex) === snapshot.lastTerm;
        const remaining = isPrefix ? this.entries.filter(entry => entry.index > snapshot.lastIndex) : [];
        this.snapshot = snapshot;
        this.entries = remaining;
        this.lengthAfterSnapshot = sumEntryLengths(remaining);
        this.replicas = this.findReplicas(this.getLastIndex());
        this.lastWrite = this.journal.replaceAll([
            ...(this.isMember ? [{ type: "member" }] : []),
            { type: "snapshot", snapshot },
            { type: "term", term: this.term, ...(this.votedFor === undefined ? {} : { votedFor: this.votedFor }) },
            ...(remaining.length > 0 ? [{ type: "entries", entries: remaining }] : []),
            { type: "clockStep", aheadMs: this.wallClockMonitor.getStepOffsetMs() },
            { type: "taken", wallMs: this.listWallTimes() },
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

    private replayRecord(record: StoredRecord): void {
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
                    this.recordAppendTime(record.entries, { wallMs: record.takenWallMs, elapsedMs: undefined });
                }
                return this.insertEntries(record.entries);
            case "clockStep":
                this.wallClockMonitor.restoreOffset(record.aheadMs);
                return this.clearWallTimes();
            case "taken":
                for (const [index, wallMs] of record.wallMs) {
                    this.appendTimes.set(index, { wallMs, elapsedMs: undefined });
                }
                return;
            case "snapshot":
                this.snapshot = record.snapshot;
                this.entries = [];
                this.lengthAfterSnapshot = 0;
                return;
        }
    }

    private clearWallTimes(): void {
        this.appendTimes.forEach(({ elapsedMs }, index) => {
            this.appendTimes.set(index, { wallMs: undefined, elapsedMs });
        });
    }

    private listWallTimes(): (readonly [number, number])[] {
        return [...this.appendTimes].flatMap(([index, { wallMs }]) =>
            wallMs === undefined ? [] : [[index, wallMs] as const]
        );
    }

    private recordAppendTime(entries: readonly LogEntry[], appendTime: AppendTime): void {
        for (const entry of entries) {
            this.appendTimes.delete(entry.index);
            this.appendTimes.set(entry.index, appendTime);
        }
        while (this.appendTimes.size > MAX_APPEND_TIMES) {
            this.appendTimes.delete(this.appendTimes.keys().next().value!);
        }
    }

    private insertEntries(entries: readonly LogEntry[]): void {
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
