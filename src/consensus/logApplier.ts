/** Applies committed entries to the declared state in order, and compacts the log with snapshots. */
import type { LogEntry } from "../domain/commands.js";
import { type ApplyResult, DeclaredState, type StateSnapshot } from "../domain/declaredState.js";
import { assertInvariant } from "../domain/resultCodes.js";
import type { Log } from "../ports/log.js";
import { ConditionVariable } from "./conditionVariable.js";
import type { LogStorage } from "./logStorage.js";
import type { PendingProposals } from "./pendingProposals.js";

/**
 * Characters of entries after which a snapshot is taken regardless of their count: bounds memory and disk use. Four bundles of
 * maximum length; 2,000 entries of which 100 are bundles of 1,700 routes would amount to 45 MB.
 */
const SNAPSHOT_LENGTH_THRESHOLD = 16 * 1024 * 1024;

export type AppliedHandler = (entry: LogEntry, result: ApplyResult) => void;

export class LogApplier {
    readonly state = new DeclaredState();
    /** Notified when entries or a snapshot have been applied. */
    readonly appliedSignal = new ConditionVariable();
    private appliedIndex = 0;
    /** Index committed when this process first heard of a leader that knew of one, or first led; undefined until then. */
    private indexAtStart: number | undefined;
    private readonly appliedHandlers: AppliedHandler[] = [];
    private readonly snapshotHandlers: (() => void)[] = [];

    /** @param snapshotEvery Number of entries applied between snapshots. */
    constructor(
        private readonly storage: LogStorage,
        private readonly proposals: PendingProposals,
        private readonly log: Log,
        private readonly snapshotEvery: number,
    ) {}

    getAppliedIndex(): number {
        return this.appliedIndex;
    }

    /** Records the committed index that a leader states. A new leader states 0 until it knows of one. */
    recordCommitted(index: number): void {
        if (index > 0) {
            this.indexAtStart ??= index;
        }
    }

    /** Whether the state contains what was committed before this process first heard of a leader. */
    hasCaughtUp(): boolean {
        return this.indexAtStart !== undefined && this.appliedIndex >= this.indexAtStart;
    }

    /** Registers a handler that is called for each applied entry, in order. */
    onApplied(handler: AppliedHandler): void {
        this.appliedHandlers.push(handler);
    }

    /** Registers a handler that is called when a snapshot has replaced the state. */
    onSnapshotLoaded(handler: () => void): void {
        this.snapshotHandlers.push(handler);
    }

    /** Replaces the state with a snapshot that covers all entries up to `index`. */
    loadState(state: StateSnapshot, index: number): void {
        this.state.loadSnapshot(state);
        this.appliedIndex = index;
        this.appliedSignal.notifyAll();
        this.snapshotHandlers.forEach(handler => handler());
    }

    /** Applies every entry up to `commitIndex`. */
    applyUpTo(commitIndex: number): void {
        while (this.appliedIndex < commitIndex) {
            const entry = this.storage.tryGetEntry(this.appliedIndex + 1);
            assertInvariant(entry !== undefined, "a committed entry must be in the log");
            const result = this.state.apply(entry);
            this.appliedIndex = entry.index;
            this.appliedHandlers.forEach(handler => handler(entry, result));
            this.proposals.resolve(entry, result);
        }
        this.recordCommitted(commitIndex);
        this.appliedSignal.notifyAll();
        const count = this.appliedIndex - this.storage.getSnapshotIndex();
        const exceedsLength = count > 0 && this.storage.getLengthAfterSnapshot() > SNAPSHOT_LENGTH_THRESHOLD;
        if (count >= this.snapshotEvery || exceedsLength) {
            this.saveSnapshot();
        }
    }

    private saveSnapshot(): void {
        const snapshot = {
            lastIndex: this.appliedIndex,
            lastTerm: this.storage.tryGetTerm(this.appliedIndex)!,
            state: this.state.createSnapshot(),
            replicas: this.storage.findReplicas(this.appliedIndex),
        };
        this.storage.saveSnapshot(snapshot).catch(error => this.log.error("snapshot_failed", { error: String(error) }));
    }
}
