/**
 * Computes how long ago the replicas appended a log entry. If the leader's process appended it, the result is the maximum of
 * the ages measured on monotonic clocks: a replica whose box was suspended may measure too little. Otherwise the leader
 * collects the ages by each replica's clock, because its own may have stepped.
 */
import type { EntryAge } from "../domain/predecessorLifetimes.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import { entryAgeMethod } from "./messages.js";
import type { ReplicaSet } from "./replicaSet.js";

/** About ten round trips between zones. */
const QUERY_TIMEOUT_MS = 100;

/** A wall clock step that occurs less than this, plus one sync, before a power loss goes undetected. */
const CLOCK_CHECK_INTERVAL_MS = 100;

export class EntryAgeCollector {
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
            const measuredMs = this.storage.tryMeasureAgeMs(index);
            return { ms: measuredMs ?? this.storage.tryGetAgeMs(index), isMeasured: measuredMs !== undefined };
        });
    }

    /** Detects and records wall clock steps until the replica stops. */
    async runClockMonitor(clock: Clock, isStopped: () => boolean): Promise<void> {
        let offsetMs = this.storage.getClockOffsetMs();
        while (!isStopped()) {
            try {
                await this.storage.observeClock();
            }
            catch (error) {
                this.log.warn("clock_step_not_saved", { error: String(error) });
            }
            if (this.storage.getClockOffsetMs() !== offsetMs) {
                offsetMs = this.storage.getClockOffsetMs();
                this.log.warn("clock_stepped", { ahead_ms: Math.round(offsetMs) });
            }
            await clock.wait(CLOCK_CHECK_INTERVAL_MS);
        }
    }

    /** Collects the age of the entry at `index` from all replicas that answer in time. */
    async collectAge(index: number): Promise<EntryAge> {
        const term = this.storage.tryGetTerm(index);
        const isMeasuredLocally = this.isLeader() && term === this.storage.term
            && this.storage.tryMeasureAgeMs(index) !== undefined;
        const peers = term === undefined ? [] : this.replicas.getPeers();
        const replies = await Promise.all(peers.map(peer => this.tryFetchAge(peer.address, index, term!)));
        const answers = replies.filter(answer => answer !== undefined);
        // Read after the replies, so that the local age includes the time spent waiting for them.
        const localMs = this.storage.tryGetAgeMs(index);
        if (isMeasuredLocally && localMs !== undefined) {
            const measuredMs = answers.filter(({ isMeasured }) => isMeasured).map(({ ms }) => ms);
            return { measuredMs: Math.max(localMs, ...measuredMs), controllerClocksMs: [] };
        }
        return {
            measuredMs: undefined,
            controllerClocksMs: [localMs, ...answers.map(({ ms }) => ms)].filter(ms => ms !== undefined),
        };
    }

    private async tryFetchAge(
        address: string,
        index: number,
        term: number,
    ): Promise<{ ms: number; isMeasured: boolean; } | undefined> {
        try {
            const startedAt = performance.now();
            const answer = await this.network.call(address, entryAgeMethod, { index, term }, QUERY_TIMEOUT_MS);
            const ms = answer.ms === undefined ? undefined : answer.ms + performance.now() - startedAt;
            return ms === undefined ? undefined : { ms, isMeasured: answer.isMeasured === true };
        }
        catch (error) {
            this.log.info("entry_age_not_told", { controller: address, error: String(error) });
            return undefined;
        }
    }
}
