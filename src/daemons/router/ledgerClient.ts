/**
 * Draws on ledgers for a router's reservations, and gives back what is not needed. The nearest ledger that can be
 * reached is drawn on first; the others when it has nothing and cannot get anything.
 */
import { Signal } from "../../consensus/signal.js";
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
/** How long a refused budget is refused again without asking. */
const EXHAUSTED_MEMORY_MS = 150;
/** A grant with less life than this is not drawn on any more. */
const LEAST_LIFE_MS = 1_000;
const RETRY_AFTER_MS = 2_000;

export interface LedgerClientOptions {
    readonly router: string;
    /** Nearest first. */
    readonly controllers: readonly ControllerAddress[];
    /** Demand that a draw covers ahead, in milliseconds. */
    readonly drawAheadMs: number;
    /** How long a request waits for reservations that are about to settle, in milliseconds. */
    readonly settleWaitMs: number;
}

interface Exhaustion {
    readonly need: number;
    readonly until: number;
    readonly refusal: Refusal;
}

export class LedgerClient {
    private readonly book: GrantStore;
    private readonly demands = new Map<string, DecayingRate>();
    private readonly drawing = new Map<string, Promise<unknown>>();
    private readonly exhausted = new Map<string, Exhaustion>();
    private readonly freed = new Signal();

    constructor(
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: LedgerClientOptions,
    ) {
        this.book = new GrantStore(options.router, clock, () => this.freed.notifyAll());
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(recallGrantMethod, async params => ({ returned: await this.returnFree(params.budget) }));
    }

    /** Reserves `tokens` of a budget, or refuses with budgetExhausted or budgetUnreachable. */
    async reserve(budget: string, tokens: number): Promise<Reservation> {
        this.getDemand(budget).add(tokens, this.clock.getMonotonicMs());
        const deadline = this.clock.getMonotonicMs() + this.options.settleWaitMs;
        for (;;) {
            const reservation = this.book.tryReserve(budget, tokens);
            if (reservation !== undefined) {
                this.drawAhead(budget, reservation.grant);
                return reservation;
            }
            const refusal = await this.drawInTurn(budget, tokens);
            const left = deadline - this.clock.getMonotonicMs();
            if (refusal === undefined) {
                continue;
            }
            if (left <= 0 || !this.book.hasReservedTokens(budget)) {
                // While the draw was on its way other runs may have settled.
                const late = this.book.tryReserve(budget, tokens);
                if (late !== undefined) {
                    return late;
                }
                throw new RefusalError(refusal);
            }
            this.metrics.addCount("router.settle_waits");
            await this.freed.wait(left);
        }
    }

    /** Gives back what expired grants have left, and forgets those that are settled. */
    async returnExpired(): Promise<void> {
        const now = this.clock.getMonotonicMs();
        const due = this.book.getAll().filter(grant => now >= grant.expiresAt);
        await this.sendReturns(due);
    }

    /** At a planned stop: gives everything back. */
    async returnAll(): Promise<void> {
        const all = this.book.getAll();
        all.forEach(grant => grant.retired = true);
        await this.sendReturns(all);
    }

    private getDemand(budget: string): DecayingRate {
        let demand = this.demands.get(budget);
        if (demand === undefined) {
            demand = new DecayingRate(DEMAND_HALF_LIFE_MS);
            this.demands.set(budget, demand);
        }
        return demand;
    }

    private getWanted(budget: string): number {
        const rate = this.getDemand(budget).getRate(this.clock.getMonotonicMs());
        return Math.ceil(rate * this.options.drawAheadMs / 1000);
    }

    /** Draws in the background while there is still something to reserve from. */
    private drawAhead(budget: string, grant: RouterGrant): void {
        const wanted = this.getWanted(budget);
        if (computeFreeGrantTokens(grant) < wanted / 2 && !this.drawing.has(budget) && !this.isExhausted(budget, 1)) {
            void this.drawInTurn(budget, 0);
        }
    }

    /** One draw of a budget at a time. Answers why nothing came, if nothing did. */
    private async drawInTurn(budget: string, need: number): Promise<Refusal | undefined> {
        while (this.drawing.has(budget)) {
            await this.drawing.get(budget);
            if (need > 0 && this.book.getByBudget(budget).some(grant => computeFreeGrantTokens(grant) >= need)) {
                return undefined;
            }
        }
        const known = this.exhausted.get(budget);
        if (known !== undefined && this.isExhausted(budget, need)) {
            return known.refusal;
        }
        const draw = this.drawFromAny(budget, need);
        this.drawing.set(budget, draw);
        const refusal = await draw;
        this.drawing.delete(budget);
        return refusal;
    }

    private isExhausted(budget: string, need: number): boolean {
        const known = this.exhausted.get(budget);
        return known !== undefined && need >= known.need && this.clock.getMonotonicMs() < known.until;
    }

    /**
     * Draws from the nearest ledger that can be reached. One that is exhausted has the last word, since it has asked the
     * others itself; one that is short and could not ask them says budgetUnreachable, and then the next is tried.
     */
    private async drawFromAny(budget: string, need: number): Promise<Refusal | undefined> {
        let failed: Refusal | undefined;
        for (const controller of this.options.controllers) {
            try {
                await this.drawFrom(controller, budget, need);
                return undefined;
            }
            catch (error) {
                const refusal = getRefusal(error);
                if (refusal.code === "budgetExhausted") {
                    return this.recordExhaustion(budget, need, refusal);
                }
                failed = refusal;
            }
        }
        return this.recordExhaustion(budget, need, createRefusal("budgetUnreachable", failed?.detail ?? failed?.code));
    }

    private recordExhaustion(budget: string, need: number, cause: Refusal): Refusal {
        const refusal = createRefusal(
            cause.code,
            `${need} tokens needed; ${cause.detail}`,
            "no",
            RETRY_AFTER_MS,
        );
        this.exhausted.set(budget, { need, until: this.clock.getMonotonicMs() + EXHAUSTED_MEMORY_MS, refusal });
        return refusal;
    }

    private async drawFrom(controller: ControllerAddress, budget: string, need: number): Promise<void> {
        const askedAt = this.clock.getMonotonicMs();
        const info: LedgerInfo = await this.network.call(controller.address, ledgerInfoMethod, {}, INFO_TIMEOUT_MS);
        const drawable = this.book.tryGetDrawable(budget, info.ledger, LEAST_LIFE_MS);
        const grant = drawable ?? this.book.openGrant(budget, info.ledger, controller.name, info.grantLifeMs);
        grant.drawSequence += 1;
        const params = { grant: grant.id, budget, sequence: grant.drawSequence, need, want: this.getWanted(budget) };
        try {
            const answer = await this.network.call(controller.address, drawMethod, params, DRAW_TIMEOUT_MS);
            grant.granted = Math.max(grant.granted, answer.grantedTotal);
        }
        catch (error) {
            this.handleFailedDraw(grant, getRefusal(error));
            throw error;
        }
        this.metrics.recordTiming("router.draw_ms", this.clock.getMonotonicMs() - askedAt);
    }

    /** Where it is not known whether a draw arrived, its tokens are left to the ledger to close. */
    private handleFailedDraw(grant: RouterGrant, refusal: Refusal): void {
        if (refusal.code === "peerTimeout" || refusal.code === "peerGone" || refusal.code === "grantClosed") {
            grant.retired = true;
            this.log.warn("draw_lost", { grant: grant.id, budget: grant.budget, code: refusal.code });
        }
        else if (grant.granted === 0) {
            this.book.remove(grant);
        }
    }

    /** Gives the free tokens of a budget back at once, because another router needs them. */
    private async returnFree(budget: string): Promise<number> {
        const grants = this.book.getByBudget(budget);
        const free = grants.reduce((sum, grant) => sum + computeFreeGrantTokens(grant), 0);
        await this.sendReturns(grants);
        return free;
    }

    private async sendReturns(grants: readonly RouterGrant[]): Promise<void> {
        const byController = new Map<string, RouterGrant[]>();
        for (const grant of grants) {
            const list = byController.get(grant.controller) ?? [];
            list.push(grant);
            byController.set(grant.controller, list);
        }
        await Promise.all([...byController].map(([name, list]) => this.sendReturnsTo(name, list)));
    }

    private async sendReturnsTo(name: string, grants: readonly RouterGrant[]): Promise<void> {
        const address = this.options.controllers.find(controller => controller.name === name)!.address;
        const now = this.clock.getMonotonicMs();
        const entries = grants.map(grant => {
            // Counted as returned before it is sent: if the answer is lost, the tokens are the ledger's.
            grant.returned += computeFreeGrantTokens(grant);
            const over = grant.retired || now >= grant.expiresAt;
            return { grant: grant.id, returnedTotal: grant.returned, done: over && grant.reserved === 0 };
        });
        try {
            await this.network.call(address, returnMethod, { grants: entries }, RETURN_TIMEOUT_MS);
        }
        catch (error) {
            this.log.warn("return_failed", { controller: name, code: getRefusal(error).code });
            return;
        }
        entries.forEach((entry, i) => entry.done && this.book.remove(grants[i]!));
    }
}
