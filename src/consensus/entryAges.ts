/**
 * Since when the replicas have an entry of the log. A leader that took the entry itself measures it; any other asks the
 * replicas, since its own clock may say nothing of a time before its process, or may have stepped.
 */
import type { EntryAge } from "../domain/routerLife.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import { entryAgeMethod } from "./messages.js";
import type { ReplicaSet } from "./replicaSet.js";

/** How long other replicas are waited for, in milliseconds: some ten times the way between zones and back. */
const ASK_TIMEOUT_MS = 100;

/**
 * How often the box's time of day is looked at, in milliseconds: a step that comes less than this and a sync before a loss
 * of power is not known afterwards.
 */
const CLOCK_WATCH_MS = 100;

export class EntryAges {
    constructor(
        private readonly storage: LogStorage,
        private readonly replicas: ReplicaSet,
        private readonly network: PeerNetwork,
        private readonly log: Log,
        private readonly isLeader: () => boolean,
    ) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(entryAgeMethod, ({ index, term }) => ({
            ms: this.storage.tryGetTerm(index) === term ? this.storage.tryGetMsSinceTaken(index) : undefined,
        }));
    }

    /** The task that notices steps of the box's time of day. */
    async runClockWatch(clock: Clock, isStopped: () => boolean): Promise<void> {
        let aheadMs = this.storage.getClockAheadMs();
        while (!isStopped()) {
            try {
                await this.storage.observeClock();
            }
            catch (error) {
                this.log.warn("clock_step_not_saved", { error: String(error) });
            }
            if (this.storage.getClockAheadMs() !== aheadMs) {
                aheadMs = this.storage.getClockAheadMs();
                this.log.warn("clock_stepped", { ahead_ms: Math.round(aheadMs) });
            }
            await clock.wait(CLOCK_WATCH_MS);
        }
    }

    async gather(index: number): Promise<EntryAge> {
        const ownMs = this.storage.tryGetMsSinceTaken(index);
        const term = this.storage.tryGetTerm(index);
        if (this.isLeader() && term === this.storage.term && ownMs !== undefined) {
            return { measuredMs: ownMs, witnessedMs: [] };
        }
        const others = term === undefined ? [] : this.replicas.getOthers();
        const answers = await Promise.all(others.map(other => this.tryAsk(other.address, index, term!)));
        return { measuredMs: undefined, witnessedMs: [ownMs, ...answers].filter(ms => ms !== undefined) };
    }

    private async tryAsk(address: string, index: number, term: number): Promise<number | undefined> {
        try {
            const startedAt = performance.now();
            const { ms } = await this.network.call(address, entryAgeMethod, { index, term }, ASK_TIMEOUT_MS);
            return ms === undefined ? undefined : ms + performance.now() - startedAt;
        }
        catch (error) {
            this.log.info("entry_age_not_told", { controller: address, error: String(error) });
            return undefined;
        }
    }
}
