/** Answers routers and sidecars for this controller's ledger. */
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
import type { ControllerContext } from "./fleetView.js";
import { ShareReporter } from "./shareReporter.js";

/** Half-life of the demand that shares follow, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 10_000;
/**
 * Most refills that one draw waits for: tokens that others gave back may be drawn or allotted elsewhere before they come.
 * With one, a ledger that had lost its share refused two of three draws that came at once, while the others were full.
 */
const MOST_REFILLS = 5;
/** Largest part of what is free that one draw takes beyond its need, so that several routers can draw. */
const LARGEST_DRAW_PART = 0.25;

export class LedgerService {
    readonly reporter: ShareReporter;
    readonly refiller: BudgetRefiller;
    private readonly demands = new Map<string, DecayingRate>();
    private readonly routers = new Map<string, Peer>();
    private readonly doneGrants = new Set<string>();
    private readonly deadlines = new Map<string, number>();
    /** Tokens that draws need which wait now, by budget. */
    private readonly waiting = new Map<string, number>();

    constructor(
        private readonly context: ControllerContext,
        /** How long a router may use a grant, counted from before it asked. */
        private readonly grantLifeMs: number,
        /** Added for clocks that run at different speeds. */
        private readonly driftMarginMs: number,
    ) {
        const getDemand = (budget: string): DecayingRate => this.getDemand(budget);
        this.reporter = new ShareReporter(context, getDemand);
        this.refiller = new BudgetRefiller(
            context,
            this.reporter,
            getDemand,
            budget => this.getHolders(budget),
            budget => this.waiting.get(budget) ?? 0,
        );
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(ledgerInfoMethod, () => this.getInfo());
        handlers.add(drawMethod, (params, peer) => this.handleDraw(params, peer));
        handlers.add(returnMethod, params => this.handleReturn(params.grants));
        handlers.add(usageMethod, async params => {
            await Promise.all(params.records.map(record => this.context.ledger.recordUsage(record)));
            await this.closeFinished(new Set(params.records.map(record => record.grant)));
        });
        handlers.add(recallShareMethod, async params => {
            return { given: await this.refiller.giveBackOnRecall(params.budget, params.tokens) };
        });
        handlers.add(findBillMethod, params => {
            const bill = this.context.ledger.tryGetBill(params.requestId);
            return bill === undefined ? {} : { bill };
        });
    }

    getDemand(budget: string): DecayingRate {
        let demand = this.demands.get(budget);
        if (demand === undefined) {
            demand = new DecayingRate(DEMAND_HALF_LIFE_MS);
            this.demands.set(budget, demand);
        }
        return demand;
    }

    /** Whether a grant's router may not use it any more. After a restart a grant counts as new. */
    isExpired(grant: string): boolean {
        const now = this.context.clock.getMonotonicMs();
        const deadline = this.deadlines.get(grant);
        if (deadline === undefined) {
            this.extendDeadline(grant);
            return false;
        }
        return now > deadline;
    }

    forgetGrant(grant: string): void {
        this.deadlines.delete(grant);
        this.doneGrants.delete(grant);
    }

    private getInfo(): { ledger: string; grantLifeMs: number; } {
        this.checkRegistered();
        return { ledger: this.context.ledger.id, grantLifeMs: this.grantLifeMs };
    }

    /** A ledger works only once the log has its incarnation: until then an earlier one may not be sealed. */
    private checkRegistered(): void {
        const record = this.context.log.state.budgets.tryGetLedger(this.context.ledger.id);
        if (record === undefined) {
            throw new RefusalError(createRefusal("notReady", "the ledger is not registered yet", "no", 500));
        }
        if (record.sealed) {
            throw new RefusalError(createRefusal("incarnationSealed", this.context.ledger.id));
        }
    }

    private async handleDraw(params: Parameters<typeof this.drawOnce>[0], peer: Peer): Promise<DrawAnswer> {
        this.checkRegistered();
        this.routers.set(peer.identity.name, peer);
        this.getDemand(params.budget).add(params.need, this.context.clock.getMonotonicMs());
        this.addWaiting(params.budget, params.need);
        try {
            return await this.drawRefilled(params, peer);
        }
        finally {
            this.addWaiting(params.budget, -params.need);
        }
    }

    private addWaiting(budget: string, tokens: number): void {
        this.waiting.set(budget, (this.waiting.get(budget) ?? 0) + tokens);
    }

    /** Draws once there is enough; nothing else runs between the look and the draw, so no other draw comes between. */
    private async drawRefilled(params: Parameters<typeof this.drawOnce>[0], peer: Peer): Promise<DrawAnswer> {
        const { budget, need } = params;
        const isShort = (): boolean => this.context.ledger.getBalance(budget).free < need;
        for (let refills = 0; isShort(); refills++) {
            const outcome = refills < MOST_REFILLS ? await this.refiller.refill(budget, need) : "unreachable";
            if (outcome === "exhausted") {
                break;
            }
            if (outcome === "unreachable" && isShort()) {
                throw new RefusalError(
                    createRefusal("budgetUnreachable", "this ledger is short and could not get more", "no", 1000),
                );
            }
        }
        return this.drawOnce(params, peer);
    }

    private async drawOnce(
        params: { grant: string; budget: string; sequence: number; need: number; want: number; },
        peer: Peer,
    ): Promise<DrawAnswer> {
        const { ledger } = this.context;
        const free = ledger.getBalance(params.budget).free;
        const want = Math.min(params.want, Math.floor(free * LARGEST_DRAW_PART));
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
        this.extendDeadline(params.grant);
        return { grantedTotal: result.grantedTotal };
    }

    private extendDeadline(grant: string): void {
        // Only the first draw counts: the router counts a grant's life from before it opened it.
        if (!this.deadlines.has(grant)) {
            const life = this.grantLifeMs + this.driftMarginMs;
            this.deadlines.set(grant, this.context.clock.getMonotonicMs() + life);
        }
    }

    private async handleReturn(
        grants: readonly { grant: string; returnedTotal: number; done: boolean; }[],
    ): Promise<void> {
        const { ledger } = this.context;
        await Promise.all(grants.map(entry => ledger.returnGrant(entry.grant, entry.returnedTotal)));
        grants.filter(entry => entry.done).forEach(entry => this.doneGrants.add(entry.grant));
        await this.closeFinished(new Set(grants.map(entry => entry.grant)));
    }

    /** Closes grants whose router is done and whose tokens are all accounted for. */
    private async closeFinished(grants: ReadonlySet<string>): Promise<void> {
        const { ledger } = this.context;
        for (const id of grants) {
            const grant = ledger.tryGetGrant(id);
            if (grant !== undefined && this.doneGrants.has(id) && Ledger.getOpenTokens(grant) === 0) {
                await ledger.closeGrant(id, true);
                this.forgetGrant(id);
            }
        }
    }

    private getHolders(budget: string): Peer[] {
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
