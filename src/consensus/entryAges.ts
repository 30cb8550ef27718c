/**
 * Since when the replicas have an entry of the log. A leader that took the entry itself measures it, and those of the others
 * that did the same: the longest counts, since a box that was suspended may have missed time, and may not know it where its
 * time of day was set back meanwhile. Any other leader asks for the replicas' times of day too, since its own clock may say
 * nothing of a time before its process, or may have stepped.
 */
import type { EntryAge } from "../domain/predecessorLifetimes.js";
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
        handlers.add(entryAgeMethod, ({ index, term }) => {
            if (this.storage.tryGetTerm(index) !== term) {
                return {};
            }
            const measuredMs = this.storage.tryMeasureSinceTaken(index);
            return { ms: measuredMs ?? this.storage.tryGetMsSinceTaken(index), isMeasured: measuredMs !== undefined };
        });
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
        const term = this.storage.tryGetTerm(index);
        const isOwn = this.isLeader() && term === this.storage.term
            && this.storage.tryMeasureSinceTaken(index) !== undefined;
        const others = term === undefined ? [] : this.replicas.getOthers();
        const told = await Promise.all(others.map(other => this.tryAsk(other.address, index, term!)));
        const answers = told.filter(answer => answer !== undefined);
        // Its own last: the time that it waited for the others counts.
        const ownMs = this.storage.tryGetMsSinceTaken(index);
        if (isOwn && ownMs !== undefined) {
            const measuredMs = answers.filter(({ isMeasured }) => isMeasured).map(({ ms }) => ms);
            return { measuredMs: Math.max(ownMs, ...measuredMs), controllerClocksMs: [] };
        }
        return {
            measuredMs: undefined,
            controllerClocksMs: [ownMs, ...answers.map(({ ms }) => ms)].filter(ms => ms !== undefined),
        };
    }

    private async tryAsk(
        address: string,
        index: number,
        term: number,
    ): Promise<{ ms: number; isMeasured: boolean; } | undefined> {
        try {
            const startedAt = performance.now();
            const answer = await this.network.call(address, entryAgeMethod, { index, term }, ASK_TIMEOUT_MS);
            const ms = answer.ms === undefined ? undefined : answer.ms + performance.now() - startedAt;
            return ms === undefined ? undefined : { ms, isMeasured: answer.isMeasured === true };
        }
        catch (error) {
            this.log.info("entry_age_not_told", { controller: address, error: String(error) });
            return undefined;
        }
    }
}
