/** Handles requests from routers, sidecars and other controllers to this controller's ledger. */
import { DecayingRate } from "../../domain/decayingRate.js";
import { Ledger } from "../../domain/ledger.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import { type Peer, PeerHandlers } from "../../ports/peer.js";
import {
    type DrawAnswer,
    drawMethod,
    findBillMethod,
    ledgerInfoMethod,
    recallShareMethod,
    returnMethod,
    usageMethod,
} from "../../protocol/ledgerMethods.js";
import { BudgetRefiller } from "./budgetRefiller.js";
import type { ControllerContext } from "./controllerContext.js";
import { ShareReporter } from "./shareReporter.js";

/** Half-life of the demand estimate that determines a ledger's share. */
const DEMAND_HALF_LIFE_MS = 10_000;
/**
 * More than one, because tokens that other ledgers return may be drawn or allotted elsewhere first. With 1, a ledger without
 * a share refused two of three simultaneous draws although other ledgers had tokens.
 */
const MAX_REFILLS_PER_DRAW = 5;
/** Maximum fraction of the free tokens granted by a draw that needs fewer, so that several routers can draw. */
const MAX_DRAW_FRACTION = 0.25;

export class LedgerService {
    readonly reporter: ShareReporter;
    readonly refiller: BudgetRefiller;
    private readonly demandRates = new Map<string, DecayingRate>();
    private readonly routers = new Map<string, Peer>();
    private readonly finishedGrants = new Set<string>();
    private readonly grantDeadlines = new Map<string, number>();
    /** Tokens needed by pending draws, by budget. */
    private readonly pendingDrawTokens = new Map<string, number>();

    constructor(
        private readonly context: ControllerContext,
        /** Lifetime of a grant, which the router measures from before its first draw. Milliseconds. */
        private readonly grantLifeMs: number,
        /** Allowance for clock drift between router and controller. Milliseconds. */
        private readonly driftMarginMs: number,
    ) {
        const getDemandRate = (budget: string): DecayingRate => this.getDemandRate(budget);
        this.reporter = new ShareReporter(context, getDemandRate);
        this.refiller = new BudgetRefiller(
            context,
            this.reporter,
            getDemandRate,
            budget => this.listGrantHolders(budget),
            budget => this.pendingDrawTokens.get(budget) ?? 0,
        );
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(ledgerInfoMethod, () => this.getInfo());
        handlers.add(drawMethod, (params, peer) => this.handleDraw(params, peer));
        handlers.add(returnMethod, params => this.handleReturn(params.grants));
        handlers.add(usageMethod, async params => {
            await Promise.all(params.records.map(record => this.context.ledger.recordUsage(record)));
            await this.closeFinishedGrants(new Set(params.records.map(record => record.grant)));
        });
        handlers.add(recallShareMethod, async params => {
            return { given: await this.refiller.returnOnRecall(params.budget, params.tokens) };
        });
        handlers.add(findBillMethod, params => {
            const bill = this.context.ledger.tryGetBill(params.requestId);
            return bill === undefined ? {} : { bill };
        });
    }

    getDemandRate(budget: string): DecayingRate {
        let rate = this.demandRates.get(budget);
        if (rate === undefined) {
            rate = new DecayingRate(DEMAND_HALF_LIFE_MS);
            this.demandRates.set(budget, rate);
        }
        return rate;
    }

    /** Whether a grant's lifetime is over. After a restart, the lifetime starts with the first call. */
    isExpired(grant: string): boolean {
        const now = this.context.clock.getMonotonicMs();
        const deadline = this.grantDeadlines.get(grant);
        if (deadline === undefined) {
            this.setDeadlineIfAbsent(grant);
            return false;
        }
        return now > deadline;
    }

    forgetGrant(grant: string): void {
        this.grantDeadlines.delete(grant);
        this.finishedGrants.delete(grant);
    }

    private getInfo(): { ledger: string; grantLifeMs: number; } {
        this.checkRegistered();
        return { ledger: this.context.ledger.id, grantLifeMs: this.grantLifeMs };
    }

    /** Refuses requests until this incarnation is registered, because an earlier one may not be sealed yet. */
    private checkRegistered(): void {
        const record = this.context.log.state.budgets.tryGetLedger(this.context.ledger.id);
        if (record === undefined) {
            throw new RefusalError(
                createRefusal("notReady", "ledger is not registered in the replicated log yet", "no", 500),
            );
        }
        if (record.sealed) {
            throw new RefusalError(createRefusal("incarnationSealed", this.context.ledger.id));
        }
    }

    private async handleDraw(params: Parameters<typeof this.draw>[0], peer: Peer): Promise<DrawAnswer> {
        this.checkRegistered();
        this.routers.set(peer.identity.name, peer);
        this.getDemandRate(params.budget).add(params.need, this.context.clock.getMonotonicMs());
        this.addPendingDrawTokens(params.budget, params.need);
        try {
            return await this.drawWithRefills(params, peer);
        }
        finally {
            this.addPendingDrawTokens(params.budget, -params.need);
        }
    }

    private addPendingDrawTokens(budget: string, tokens: number): void {
        this.pendingDrawTokens.set(budget, (this.pendingDrawTokens.get(budget) ?? 0) + tokens);
    }

    /** Refills until enough tokens are free, then draws. No `await` may separate the last check from the draw. */
    private async drawWithRefills(params: Parameters<typeof this.draw>[0], peer: Peer): Promise<DrawAnswer> {
        const { budget, need } = params;
        const isShort = (): boolean => this.context.ledger.getBalance(budget).free < need;
        for (let refills = 0; isShort(); refills++) {
            const outcome = refills < MAX_REFILLS_PER_DRAW ? await this.refiller.refill(budget, need) : "unreachable";
            if (outcome === "exhausted") {
                break;
            }
            if (outcome === "unreachable" && isShort()) {
                throw new RefusalError(
                    createRefusal("budgetUnreachable", "too few free tokens, and the refill failed", "no", 1000),
                );
            }
        }
        return this.draw(params, peer);
    }

    private async draw(
        params: { grant: string; budget: string; sequence: number; need: number; want: number; },
        peer: Peer,
    ): Promise<DrawAnswer> {
        const { ledger } = this.context;
        const free = ledger.getBalance(params.budget).free;
        const want = Math.min(params.want, Math.floor(free * MAX_DRAW_FRACTION));
        const result = await ledger.draw(
            params.grant,
            peer.identity.name,
            params.budget,
            params.sequence,
            params.need,
            want,
        );
        if (result.type === "refused") {
            throw new RefusalError(result.refusal);
        }
        this.setDeadlineIfAbsent(params.grant);
        return { grantedTotal: result.grantedTotal };
    }

    private setDeadlineIfAbsent(grant: string): void {
        // Later draws do not extend the lifetime, which the router measures from before its first draw.
        if (!this.grantDeadlines.has(grant)) {
            const life = this.grantLifeMs + this.driftMarginMs;
            this.grantDeadlines.set(grant, this.context.clock.getMonotonicMs() + life);
        }
    }

    private async handleReturn(
        grants: readonly { grant: string; returnedTotal: number; done: boolean; }[],
    ): Promise<void> {
        const { ledger } = this.context;
        await Promise.all(grants.map(entry => ledger.returnGrant(entry.grant, entry.returnedTotal)));
        grants.filter(entry => entry.done).forEach(entry => this.finishedGrants.add(entry.grant));
        await this.closeFinishedGrants(new Set(grants.map(entry => entry.grant)));
    }

    /** Closes grants that their router has finished using and that have no open tokens. */
    private async closeFinishedGrants(grants: ReadonlySet<string>): Promise<void> {
        const { ledger } = this.context;
        for (const id of grants) {
            const grant = ledger.tryGetGrant(id);
            if (grant !== undefined && this.finishedGrants.has(id) && Ledger.getOpenTokens(grant) === 0) {
                await ledger.closeGrant(id, true);
                this.forgetGrant(id);
            }
        }
    }

    private listGrantHolders(budget: string): Peer[] {
        const names = new Set(
            this.context.ledger.getGrants().filter(grant => grant.budget === budget).map(grant => grant.router),
        );
        const peers: Peer[] = [];
        for (const name of names) {
            const peer = this.routers.get(name);
            if (peer?.isOpen() === true) {
                peers.push(peer);
            }
        }
        return peers;
    }
}
