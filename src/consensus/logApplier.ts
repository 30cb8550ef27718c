/** Applies what is committed to the declared state, in order, and stands in for the log by snapshots. */
import type { LogEntry } from "../domain/commands.js";
import { type ApplyResult, DeclaredState, type StateSnapshot } from "../domain/declaredState.js";
import { assertInvariant } from "../domain/resultCodes.js";
import type { Log } from "../ports/log.js";
import type { LogStorage } from "./logStorage.js";
import type { PendingProposals } from "./pendingProposals.js";
import { Signal } from "./signal.js";

/**
 * Characters of entries after which a snapshot is taken, however few they are: they are held in memory and on the disk.
 * Four of the longest bundles; 2,000 entries, of which 100 are bundles of 1,700 routes, would come to 45 MB.
 */
const MAX_LENGTH_AFTER_SNAPSHOT = 16 * 1024 * 1024;

/** Called for each applied entry, in order. */
export type AppliedHandler = (entry: LogEntry, result: ApplyResult) => void;

export class LogApplier {
    readonly state = new DeclaredState();
    /** Wakes whoever waits for entries to be applied. */
    readonly applied = new Signal();
    private index = 0;
    private readonly appliedHandlers: AppliedHandler[] = [];
    private readonly snapshotHandlers: (() => void)[] = [];

    /** `snapshotEvery`: entries applied between snapshots. */
    constructor(
        private readonly storage: LogStorage,
        private readonly proposals: PendingProposals,
        private readonly log: Log,
        private readonly snapshotEvery: number,
    ) {}

    /** Index of the last entry applied. */
    getIndex(): number {
        return this.index;
    }

    onApplied(handler: AppliedHandler): void {
        this.appliedHandlers.push(handler);
    }

    /** Calls back when a state has come in place of entries that were not applied one by one. */
    onSnapshotLoaded(handler: () => void): void {
        this.snapshotHandlers.push(handler);
    }

    /** Takes a state that stands for all entries up to `index`. */
    loadState(state: StateSnapshot, index: number): void {
        this.state.loadSnapshot(state);
        this.index = index;
        this.applied.notifyAll();
        this.snapshotHandlers.forEach(handler => handler());
    }

    /** Applies every entry up to `commitIndex`. */
    applyUpTo(commitIndex: number): void {
        while (this.index < commitIndex) {
            const entry = this.storage.tryGetEntry(this.index + 1);
            assertInvariant(entry !== undefined, "a committed entry is in the log");
            const result = this.state.apply(entry);
            this.index = entry.index;
            this.appliedHandlers.forEach(handler => handler(entry, result));
            this.proposals.resolve(entry, result);
        }
        this.applied.notifyAll();
        const count = this.index - this.storage.getSnapshotIndex();
        const isLong = count > 0 && this.storage.getLengthAfterSnapshot() > MAX_LENGTH_AFTER_SNAPSHOT;
        if (count >= this.snapshotEvery || isLong) {
            this.saveSnapshot();
        }
    }

    private saveSnapshot(): void {
        const snapshot = {
            lastIndex: this.index,
            lastTerm: this.storage.tryGetTerm(this.index)!,
            state: this.state.createSnapshot(),
            replicas: this.storage.findReplicas(this.index),
        };
        this.storage.saveSnapshot(snapshot).catch(error => this.log.error("snapshot_failed", { error: String(error) }));
    }
}
