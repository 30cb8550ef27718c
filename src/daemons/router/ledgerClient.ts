/**
 * Draws tokens from ledgers for a router's reservations, and returns those that are not needed. Draws from the nearest
 * ledger; from the next ones if it cannot be reached, or is short of tokens and cannot reach the others.
 */
import { ConditionVariable } from "../../consensus/conditionVariable.js";
import { DecayingRate } from "../../domain/decayingRate.js";
import { computeFreeGrantTokens, GrantStore, type Reservation, type RouterGrant } from "../../domain/grantStore.js";
import { createRefusal, getRefusal, type Refusal, RefusalError } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import {
    drawMethod,
    type LedgerInfo,
    ledgerInfoMethod,
    recallGrantMethod,
    returnMethod,
} from "../../protocol/ledgerMethods.js";
import type { ControllerAddress } from "../controllerAddress.js";

const DRAW_TIMEOUT_MS = 2_500;
const INFO_TIMEOUT_MS = 1_000;
const RETURN_TIMEOUT_MS = 1_000;
const DEMAND_HALF_LIFE_MS = 3_000;
/** How long a refused draw is answered from the cache. */
const EXHAUSTION_CACHE_MS = 150;
/** A grant that expires earlier than this is not drawn on. */
const MIN_REMAINING_LIFETIME_MS = 1_000;
const RETRY_AFTER_MS = 2_000;

export interface LedgerClientOptions {
    readonly router: string;
    /** Nearest first. */
    readonly controllers: readonly ControllerAddress[];
    /** Time whose expected demand a draw covers, in milliseconds. */
    readonly drawAheadMs: number;
    /** How long a refused request waits for other reservations to settle, in milliseconds. */
    readonly settleWaitMs: number;
}

interface CachedRefusal {
    readonly need: number;
    readonly expiresAt: number;
    readonly refusal: Refusal;
}

export class LedgerClient {
    private readonly grantStore: GrantStore;
    private readonly demands = new Map<string, DecayingRate>();
    private readonly pendingDraws = new Map<string, Promise<unknown>>();
    private readonly cachedRefusals = new Map<string, CachedRefusal>();
    private readonly tokensFreed = new ConditionVariable();

    constructor(
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: LedgerClientOptions,
    ) {
        this.grantStore = new GrantStore(options.router, clock, () => this.tokensFreed.notifyAll());
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(recallGrantMethod, async params => ({ returned: await this.returnFreeTokens(params.budget) }));
    }

    /** Reserves `tokens` of a budget. Rejects with budgetExhausted or budgetUnreachable. */
    async reserve(budget: string, tokens: number): Promise<Reservation> {
        this.getDemand(budget).add(tokens, this.clock.getMonotonicMs());
        const deadline = this.clock.getMonotonicMs() + this.options.settleWaitMs;
        for (;;) {
            const reservation = this.grantStore.tryReserve(budget, tokens);
            if (reservation !== undefined) {
                this.drawAhead(budget, reservation.grant);
                return reservation;
            }
            const refusal = await this.drawExclusively(budget, tokens);
            const remainingMs = deadline - this.clock.getMonotonicMs();
            if (refusal === undefined) {
                continue;
            }
            if (remainingMs <= 0 || !this.grantStore.hasReservedTokens(budget)) {
                // Other runs may have settled during the draw.
                const lateReservation = this.grantStore.tryReserve(budget, tokens);
                if (lateReservation !== undefined) {
                    return lateReservation;
                }
                throw new RefusalError(refusal);
            }
            this.metrics.addCount("router.settle_waits");
            await this.tokensFreed.wait(remainingMs);
        }
    }

    /** Returns the free tokens of expired grants, and removes the grants that have no open reservations. */
    async returnExpiredGrants(): Promise<void> {
        const now = this.clock.getMonotonicMs();
        const expiredGrants = this.grantStore.getAll().filter(grant => now >= grant.expiresAt);
        await this.sendReturns(expiredGrants);
    }

    /** Retires all grants and returns their free tokens. For a planned stop. */
    async returnAllGrants(): Promise<void> {
        const grants = this.grantStore.getAll();
        grants.forEach(grant => grant.retired = true);
        await this.sendReturns(grants);
    }

    private getDemand(budget: string): DecayingRate {
        let demand = this.demands.get(budget);
        if (demand === undefined) {
            demand = new DecayingRate(DEMAND_HALF_LIFE_MS);
            this.demands.set(budget, demand);
        }
        return demand;
    }

    private computeWantedTokens(budget: string): number {
        const rate = this.getDemand(budget).getRate(this.clock.getMonotonicMs());
        return Math.ceil(rate * this.options.drawAheadMs / 1000);
    }

    /** Starts a draw in the background if the grant is running low. */
    private drawAhead(budget: string, grant: RouterGrant): void {
        const wantedTokens = this.computeWantedTokens(budget);
        if (
            computeFreeGrantTokens(grant) < wantedTokens / 2 && !this.pendingDraws.has(budget)
            && !this.isRefusalCached(budget, 1)
        ) {
            void this.drawExclusively(budget, 0);
        }
    }

    /** Draws once no other draw of the budget is in progress. Returns undefined if a reservation may now succeed. */
    private async drawExclusively(budget: string, need: number): Promise<Refusal | undefined> {
        while (this.pendingDraws.has(budget)) {
            await this.pendingDraws.get(budget);
            if (need > 0 && this.grantStore.getByBudget(budget).some(grant => computeFreeGrantTokens(grant) >= need)) {
                return undefined;
            }
        }
        const cached = this.cachedRefusals.get(budget);
        if (cached !== undefined && this.isRefusalCached(budget, need)) {
            return cached.refusal;
        }
        const draw = this.drawFromNearest(budget, need);
        this.pendingDraws.set(budget, draw);
        const refusal = await draw;
        this.pendingDraws.delete(budget);
        return refusal;
    }

    private isRefusalCached(budget: string, need: number): boolean {
        const cached = this.cachedRefusals.get(budget);
        if (cached === undefined || this.clock.getMonotonicMs() >= cached.expiresAt) {
            return false;
        }
        // A failed draw ahead, which needs no tokens, says nothing about a request's own draw.
        return cached.need === 0 ? need === 0 : need >= cached.need;
    }

    /**
     * Draws from the nearest ledger that can be reached. budgetExhausted is final, since that ledger has asked the others.
     * After budgetUnreachable, from a ledger that is short and could not ask the others, the next ledger is tried.
     */
    private async drawFromNearest(budget: string, need: number): Promise<Refusal | undefined> {
        let lastRefusal: Refusal | undefined;
        for (const controller of this.options.controllers) {
            try {
                await this.drawFrom(controller, budget, need);
                return undefined;
            }
            catch (error) {
                const refusal = getRefusal(error);
                if (refusal.code === "budgetExhausted") {
                    return this.cacheRefusal(budget, need, refusal);
                }
                lastRefusal = refusal;
            }
        }
        return this.cacheRefusal(
            budget,
            need,
            createRefusal("budgetUnreachable", lastRefusal?.detail ?? lastRefusal?.code),
        );
    }

    private cacheRefusal(budget: string, need: number, cause: Refusal): Refusal {
        const refusal = createRefusal(
            cause.code,
            `${need} tokens needed; ${cause.detail}`,
            "no",
            RETRY_AFTER_MS,
        );
        this.cachedRefusals.set(budget, {
            need,
            expiresAt: this.clock.getMonotonicMs() + EXHAUSTION_CACHE_MS,
            refusal,
        });
        return refusal;
    }

    private async drawFrom(controller: ControllerAddress, budget: string, need: number): Promise<void> {
        const startedAt = this.clock.getMonotonicMs();
        const info: LedgerInfo = await this.network.call(controller.address, ledgerInfoMethod, {}, INFO_TIMEOUT_MS);
        const drawable = this.grantStore.tryGetDrawable(budget, info.ledger, MIN_REMAINING_LIFETIME_MS);
        const grant = drawable ?? this.grantStore.openGrant(budget, info.ledger, controller.name, info.grantLifeMs);
        grant.drawSequence += 1;
        const params = {
            grant: grant.id,
            budget,
            sequence: grant.drawSequence,
            need,
            want: this.computeWantedTokens(budget),
        };
        try {
            const answer = await this.network.call(controller.address, drawMethod, params, DRAW_TIMEOUT_MS);
            grant.granted = Math.max(grant.granted, answer.grantedTotal);
        }
        catch (error) {
            this.handleFailedDraw(grant, getRefusal(error));
            throw error;
        }
        this.metrics.recordTiming("router.draw_ms", this.clock.getMonotonicMs() - startedAt);
    }

    /** If it is unknown whether the ledger granted the draw, retires the grant, which the ledger then closes. */
    private handleFailedDraw(grant: RouterGrant, refusal: Refusal): void {
        if (refusal.code === "peerTimeout" || refusal.code === "peerGone" || refusal.code === "grantClosed") {
            grant.retired = true;
            this.log.warn("draw_lost", { grant: grant.id, budget: grant.budget, code: refusal.code });
        }
        else if (grant.granted === 0) {
            this.grantStore.remove(grant);
        }
    }

    /** Returns the free tokens of a budget immediately, because another router needs them. */
    private async returnFreeTokens(budget: string): Promise<number> {
        const grants = this.grantStore.getByBudget(budget);
        const freeTokens = grants.reduce((sum, grant) => sum + computeFreeGrantTokens(grant), 0);
        await this.sendReturns(grants);
        return freeTokens;
    }

    private async sendReturns(grants: readonly RouterGrant[]): Promise<void> {
        const grantsByController = new Map<string, RouterGrant[]>();
        for (const grant of grants) {
            const controllerGrants = grantsByController.get(grant.controller) ?? [];
            controllerGrants.push(grant);
            grantsByController.set(grant.controller, controllerGrants);
        }
        await Promise.all([...grantsByController].map(([name, list]) => this.sendReturnsTo(name, list)));
    }

    private async sendReturnsTo(controllerName: string, grants: readonly RouterGrant[]): Promise<void> {
        const address = this.options.controllers.find(controller => controller.name === controllerName)!.address;
        const now = this.clock.getMonotonicMs();
        const entries = grants.map(grant => {
            // Deducted before sending: if the response is lost, the ledger may already have reassigned the tokens.
            grant.returned += computeFreeGrantTokens(grant);
            const isEnded = grant.retired || now >= grant.expiresAt;
            return { grant: grant.id, returnedTotal: grant.returned, done: isEnded && grant.reserved === 0 };
        });
        try {
            await this.network.call(address, returnMethod, { grants: entries }, RETURN_TIMEOUT_MS);
        }
        catch (error) {
            this.log.warn("return_failed", { controller: controllerName, code: getRefusal(error).code });
            return;
        }
        entries.forEach((entry, i) => entry.done && this.grantStore.remove(grants[i]!));
    }
}
