/**
 * Grants routers permits for repeats. Runs on every controller; only the leader grants, the others forward claims to it. Permits
 * are recorded in the replicated log before they are granted, those of claims that wait together in one entry.
 */
import { getLeaderAddress } from "../../consensus/leaderAddress.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import {
    MAX_PERMITS_PER_CLAIM,
    type PermitAnswer,
    PermitBook,
    type PermitBookOptions,
} from "../../domain/repeatPermits.js";
import type { PermitReservation, PermitReservationResult } from "../../domain/repeatPermitStore.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { claimPermitsMethod, type PermitClaim } from "../../protocol/repeatMethods.js";

const FORWARD_TIMEOUT_MS = 500;
const EVICTION_PERIOD_MS = 5_000;
/** Claims of one service that wait for the log; further ones get nothing. */
const MAX_WAITING_CLAIMS = 1_000;

interface WaitingClaim {
    readonly count: number;
    resolve(answer: PermitAnswer): void;
    reject(error: unknown): void;
}

/** The permits of one leadership. */
interface Leadership {
    readonly term: number;
    readonly book: Promise<PermitBook>;
    /** Claims that wait, by service; a service in it has an entry under way. */
    readonly waiting: Map<string, WaitingClaim[]>;
}

export class RepeatPermitService {
    private leadership: Leadership | undefined;
    /** When this controller knew of recorded permits, by log index: they were reserved before. Monotonic clock, milliseconds. */
    private readonly knownAt = new Map<number, number>();

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: PermitBookOptions,
    ) {
        replica.onApplied(({ command, index }) => {
            if (command.type === "reserveRepeatPermits") {
                this.knownAt.set(index, this.clock.getMonotonicMs());
            }
        });
        this.recordSnapshot();
        replica.onSnapshotLoaded(() => this.recordSnapshot());
    }

    /** Permits that come with a snapshot were reserved before it was loaded, whenever this controller begins to lead. */
    private recordSnapshot(): void {
        const now = this.clock.getMonotonicMs();
        this.replica.state.repeatPermits.list().forEach(permits => this.getKnownAt(permits, now));
    }

    /** Periodically removes permits that count no longer from the log, on the leader. */
    async runEviction(): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.clock.wait(EVICTION_PERIOD_MS);
            await this.evictExpired().catch(error =>
                this.log.info("repeat_permits_not_released", { error: String(error) })
            );
        }
    }

    /** Throws noMajority and changeUnknown; a claim that failed may be made again, its permits are lost until they expire. */
    async handleClaim(claim: PermitClaim): Promise<PermitAnswer> {
        const leadership = this.tryGetLeadership();
        if (leadership === undefined) {
            return this.forwardClaim(claim);
        }
        const waiting = leadership.waiting.get(claim.service);
        if (waiting !== undefined && waiting.length >= MAX_WAITING_CLAIMS) {
            return { permits: 0, lifetimeMs: this.options.lifetimeMs, retryAfterMs: 0 };
        }
        return new Promise((resolve, reject) => {
            const waitingClaim = { count: Math.min(claim.count, MAX_PERMITS_PER_CLAIM), resolve, reject };
            if (waiting !== undefined) {
                waiting.push(waitingClaim);
                return;
            }
            leadership.waiting.set(claim.service, [waitingClaim]);
            void this.handleWaiting(leadership, claim.service);
        });
    }

    private async forwardClaim(claim: PermitClaim): Promise<PermitAnswer> {
        if (claim.isForwarded) {
            throw new RefusalError(createRefusal("noMajority", "not the leader", "no"));
        }
        const { address } = getLeaderAddress(this.replica);
        return this.network.call(address, claimPermitsMethod, { ...claim, isForwarded: true }, FORWARD_TIMEOUT_MS);
    }

    /** Answers the claims of a service in rounds until none waits. */
    private async handleWaiting({ term, book, waiting }: Leadership, service: string): Promise<void> {
        for (;;) {
            const claims = waiting.get(service)!;
            if (claims.length === 0) {
                waiting.delete(service);
                return;
            }
            waiting.set(service, []);
            try {
                this.allotPermits(claims, await this.recordPermits(term, await book, service, claims));
            }
            catch (error) {
                claims.forEach(({ reject }) => reject(error));
            }
        }
    }

    /** Returns the permits that claims may be granted together, and when there may be more. */
    private async recordPermits(
        term: number,
        book: PermitBook,
        service: string,
        claims: readonly WaitingClaim[],
    ): Promise<{ readonly permits: number; readonly retryAfterMs: number; }> {
        const now = this.clock.getMonotonicMs();
        const asked = claims.reduce((sum, { count }) => sum + count, 0);
        const reserved = book.tryReserve(service, asked, now);
        if (reserved === undefined) {
            return { permits: 0, retryAfterMs: book.getRetryAfterMs(service, now) };
        }
        const { permits } = reserved;
        const command = { type: "reserveRepeatPermits", service, permits, term } as const;
        const { index, result } = await this.replica.propose(command);
        if (!(result as PermitReservationResult).isAccepted) {
            throw new RefusalError(createRefusal("noMajority", "another controller leads", "no"));
        }
        reserved.index = index;
        this.metrics.addCount("repeat_permits_granted", permits);
        return { permits, retryAfterMs: book.getRetryAfterMs(service, now) };
    }

    /** Divides permits among claims, earlier ones first. */
    private allotPermits(
        claims: readonly WaitingClaim[],
        { permits, retryAfterMs }: { readonly permits: number; readonly retryAfterMs: number; },
    ): void {
        let left = permits;
        for (const { count, resolve } of claims) {
            const granted = Math.min(count, left);
            left -= granted;
            resolve({ permits: granted, lifetimeMs: this.options.lifetimeMs, retryAfterMs });
        }
    }

    /** Returns undefined if this controller does not lead. */
    private tryGetLeadership(): Leadership | undefined {
        const term = this.replica.getTerm();
        if (!this.replica.isLeaderInTerm(term)) {
            this.leadership = undefined;
        }
        else if (this.leadership?.term !== term) {
            const leadership = { term, book: this.createBook(), waiting: new Map<string, WaitingClaim[]>() };
            // Claims that wait are told. The next one tries again.
            leadership.book.catch(() => this.leadership = this.leadership === leadership ? undefined : this.leadership);
            this.leadership = leadership;
        }
        return this.leadership;
    }

    /** Resolves once the permits of all earlier leaders are applied. Throws noMajority. */
    private async createBook(): Promise<PermitBook> {
        await this.replica.confirmReadIndex();
        const now = this.clock.getMonotonicMs();
        const recorded = this.replica.state.repeatPermits.list();
        return new PermitBook(
            this.options,
            recorded.map(permits => ({ ...permits, at: this.getKnownAt(permits, now) })),
        );
    }

    /** `now`: recorded for permits that are not known yet. */
    private getKnownAt({ index }: PermitReservation, now: number): number {
        const knownAt = this.knownAt.get(index) ?? now;
        this.knownAt.set(index, knownAt);
        return knownAt;
    }

    private async evictExpired(): Promise<void> {
        const recordedIndexes = new Set(this.replica.state.repeatPermits.list().map(({ index }) => index));
        [...this.knownAt.keys()].filter(index => !recordedIndexes.has(index)).forEach(index =>
            this.knownAt.delete(index)
        );
        const leadership = this.tryGetLeadership();
        if (leadership === undefined || this.replica.state.repeatPermits.list().length === 0) {
            return;
        }
        const book = await leadership.book;
        const upTo = book.evictExpired(this.clock.getMonotonicMs());
        if (upTo !== undefined) {
            await this.replica.propose({ type: "releaseRepeatPermits", upTo });
        }
    }
}
