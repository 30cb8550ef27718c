/**
 * The ledger of one controller's incarnation: what its shares are spent on. Every change is a synced journal record
 * before anybody is told of it.
 *
 * Conservation, for each budget: allotted - returned = free + open grants + spent + unaccounted.
 */
import type { Journal } from "../ports/journal.js";
import { BillBook, type BillRecord, type UsageRecord } from "./billBook.js";
import { getGrantLedger } from "./identifiers.js";
import type { LedgerEvent } from "./ledgerEvents.js";
import type { BudgetSpec } from "./objects.js";
import { assertInvariant, createRefusal, type Refusal } from "./resultCodes.js";

/** A grant: tokens that one router may reserve from. Totals only grow. */
export interface LedgerGrant {
    readonly id: string;
    readonly budget: string;
    readonly router: string;
    grantedTotal: number;
    returnedTotal: number;
    consumedTotal: number;
    /** Sequence of the last draw, so that a resend is answered and not repeated. */
    drawSequence: number;
    /** Position in the journal's order at which it was opened. */
    readonly openedAt: number;
}

/** What one budget looks like in this ledger. All in tokens. */
export interface LedgerBalance {
    readonly allotted: number;
    readonly returned: number;
    readonly free: number;
    readonly open: number;
    readonly spent: number;
    readonly unaccounted: number;
}

interface BudgetTotals {
    returned: number;
    spent: number;
    unaccounted: number;
    open: number;
}

/** A top-up stored by its home. */
export interface StoredTopUp {
    readonly operationId: string;
    readonly operator: string;
    readonly budget: string;
    readonly tokens: number;
    /** Copies it needs, as its budget said when it was stored. */
    readonly copies: BudgetSpec["topUpCopies"];
    /** Whether enough copies lie in its zone to spend it before the log holds it. */
    spendable: boolean;
}

/** Result of raising a grant. */
export type DrawResult =
    | { readonly type: "granted"; readonly grantedTotal: number; }
    | { readonly type: "refused"; readonly refusal: Refusal; };

/** Tells what the replicated log has handed to this ledger. */
export abstract class ShareSource {
    /** Tokens allotted to this ledger so far, in total. */
    abstract getAllotted(budget: string): number;
    /** Whether the log holds the top-up already, so that `getAllotted` counts it. */
    abstract hasTopUp(operationId: string): boolean;
}

/** The ledger. Methods that return a promise resolve once their record is synced. */
export class Ledger {
    private readonly totals = new Map<string, BudgetTotals>();
    private readonly grants = new Map<string, LedgerGrant>();
    private readonly voidGrants = new Set<string>();
    private readonly topUps = new Map<string, StoredTopUp>();
    private readonly sidecarsSeen = new Map<string, { incarnation: string; at: number; }>();
    private readonly bills = new BillBook();
    private eventCount = 0;
    /** The newest record's way to the disk; it follows all earlier ones. */
    private lastWrite: Promise<void> = Promise.resolve();
    /** Tokens recorded beyond what was granted. Stays 0 unless the program is wrong. */
    overspent = 0;
    /** Tokens billed here that came out of sealed shares. */
    sealedSpent = 0;

    constructor(
        readonly id: string,
        private readonly journal: Journal,
        private readonly source: ShareSource,
        events: readonly LedgerEvent[] = [],
    ) {
        events.forEach(event => this.applyEvent(event));
    }

    getBalance(budget: string): LedgerBalance {
        const totals = this.getTotals(budget);
        const allotted = this.source.getAllotted(budget) + this.getLocalCredit(budget);
        return {
            allotted,
            returned: totals.returned,
            free: allotted - totals.returned - totals.spent - totals.unaccounted - totals.open,
            open: totals.open,
            spent: totals.spent,
            unaccounted: totals.unaccounted,
        };
    }

    /** Every budget that this ledger has ever handled. */
    getBudgets(): string[] {
        const names = new Set(this.totals.keys());
        this.topUps.forEach(topUp => names.add(topUp.budget));
        return [...names];
    }

    getGrants(): LedgerGrant[] {
        return [...this.grants.values()];
    }

    tryGetGrant(id: string): LedgerGrant | undefined {
        return this.grants.get(id);
    }

    /** Tokens of a grant that are neither consumed nor given back. */
    static getOpenTokens(grant: LedgerGrant): number {
        return grant.grantedTotal - grant.returnedTotal - grant.consumedTotal;
    }

    /**
     * Raises a grant by `want` tokens, or by as much as is free but at least `need`; opens it where it is new.
     * A repeated `sequence` gets the same answer and nothing more.
     */
    async draw(
        grantId: string,
        router: string,
        budget: string,
        sequence: number,
        need: number,
        want: number,
    ): Promise<DrawResult> {
        const known = this.grants.get(grantId);
        if (known !== undefined && sequence <= known.drawSequence) {
            await this.waitSynced();
            return { type: "granted", grantedTotal: known.grantedTotal };
        }
        if (this.voidGrants.has(grantId)) {
            return { type: "refused", refusal: createRefusal("grantClosed", grantId) };
        }
        const free = this.getBalance(budget).free;
        if (free < need) {
            return { type: "refused", refusal: createRefusal("budgetExhausted", `${free} of ${need} tokens free`) };
        }
        const tokens = Math.min(Math.max(need, want), free);
        const grantedTotal = (known?.grantedTotal ?? 0) + tokens;
        await this.record({ type: "grant", id: grantId, router, budget, sequence, grantedTotal });
        return { type: "granted", grantedTotal };
    }

    /** Takes back what a router says it will not reserve from any more, as a total for the grant. */
    async returnGrant(grantId: string, returnedTotal: number): Promise<void> {
        const grant = this.grants.get(grantId);
        if (grant === undefined) {
            this.voidGrants.add(grantId);
            return;
        }
        const bounded = Math.min(returnedTotal, grant.grantedTotal - grant.consumedTotal);
        if (bounded > grant.returnedTotal) {
            await this.record({ type: "return", id: grantId, returnedTotal: bounded });
        }
        await this.waitSynced();
    }

    /** Records what a run consumed. Any number of copies, from either witness, is one bill. */
    async recordUsage(usage: UsageRecord): Promise<void> {
        if (this.bills.isNews(usage)) {
            await this.record({ type: "usage", usage });
        }
        await this.waitSynced();
    }

    /** Whether the ledger still holds a record of the request, and what it is billed. */
    tryGetBill(requestId: string): BillRecord | undefined {
        return this.bills.tryGet(requestId);
    }

    /** The newest bills, newest last. */
    getBills(limit: number): BillRecord[] {
        return this.bills.getNewest(limit);
    }

    /** Withdraws a bill, because another ledger bills the same request; the tokens are free again. */
    async withdrawBill(requestId: string, billedBy: string): Promise<void> {
        if (this.bills.tryGet(requestId)?.withdrawn === false) {
            await this.record({ type: "withdraw", requestId, billedBy });
        }
    }

    /** Bills that may stand in another ledger too and have not been compared yet. */
    getUncertainBills(): BillRecord[] {
        return this.bills.getUncertain();
    }

    async confirmBill(requestId: string): Promise<void> {
        await this.record({ type: "confirm", requestId });
    }

    /** Gives free tokens back for good; they are unallocated once the log has the report. Answers how many. */
    async giveBack(budget: string, tokens: number): Promise<number> {
        const given = Math.min(tokens, this.getBalance(budget).free);
        if (given <= 0) {
            return 0;
        }
        await this.record({ type: "giveBack", budget, returnedTotal: this.getTotals(budget).returned + given });
        return given;
    }

    /**
     * Closes a grant nobody will use any more. `complete`: every sidecar that may have run under it has answered, so
     * what is left is free; otherwise it is written off as unaccounted.
     */
    async closeGrant(grantId: string, complete: boolean): Promise<void> {
        if (this.grants.has(grantId)) {
            await this.record({ type: "close", id: grantId, complete });
        }
    }

    /** Stores a top-up whose home this is. A resend changes nothing; another content under the same id is refused. */
    async storeTopUp(topUp: StoredTopUp): Promise<Refusal | undefined> {
        const known = this.topUps.get(topUp.operationId);
        if (known === undefined) {
            await this.record({ type: "topUp", topUp });
            return undefined;
        }
        if (known.budget !== topUp.budget || known.tokens !== topUp.tokens) {
            return createRefusal("operationReused", topUp.operationId);
        }
        await this.waitSynced();
        return undefined;
    }

    async markTopUpSpendable(operationId: string): Promise<void> {
        if (this.topUps.get(operationId)?.spendable === false) {
            await this.record({ type: "topUpSpendable", operationId });
        }
        await this.waitSynced();
    }

    tryGetTopUp(operationId: string): StoredTopUp | undefined {
        return this.topUps.get(operationId);
    }

    /** Top-ups that the log does not hold yet. */
    getPendingTopUps(): StoredTopUp[] {
        return [...this.topUps.values()].filter(topUp => !this.source.hasTopUp(topUp.operationId));
    }

    /** Notes a sidecar's incarnation; only grants opened later can be closed on its word. */
    async recordSidecar(box: string, incarnation: string): Promise<void> {
        if (this.sidecarsSeen.get(box)?.incarnation !== incarnation) {
            await this.record({ type: "sidecarSeen", box, incarnation });
        }
    }

    /** Whether a sidecar's answer covers the grant's whole life. */
    isWitnessOf(grant: LedgerGrant, box: string, incarnation: string): boolean {
        const seen = this.sidecarsSeen.get(box);
        return seen !== undefined && seen.incarnation === incarnation && seen.at < grant.openedAt;
    }

    /** Frees tokens that were written off, on an operator's word. */
    async releaseUnaccounted(budget: string, tokens: number): Promise<number> {
        const released = Math.min(tokens, this.getTotals(budget).unaccounted);
        if (released > 0) {
            await this.record({ type: "release", budget, tokens: released });
        }
        return released;
    }

    /** Rewrites the journal as the shortest list of events that leads to the present state. */
    async compact(): Promise<void> {
        await this.journal.replaceAll(this.createSnapshotEvents());
    }

    getJournalSize(): number {
        return this.journal.getSize();
    }

    /** Drops bills that are older than anybody may resend. */
    removeOldBills(before: number): void {
        this.bills.removeOlderThan(before);
    }

    /** Applies first and syncs then: what is not synced yet can only make the ledger more careful. */
    private async record(event: LedgerEvent): Promise<void> {
        this.applyEvent(event);
        this.lastWrite = this.journal.append(event);
        await this.lastWrite;
    }

    /** Before an answer that needs no record of its own: what it rests on may not be synced yet. */
    private async waitSynced(): Promise<void> {
        await this.lastWrite;
    }

    private applyEvent(event: LedgerEvent): void {
        this.eventCount += 1;
        switch (event.type) {
            case "grant":
                return this.applyGrant(event);
            case "return":
                return this.applyReturn(event.id, event.returnedTotal);
            case "usage":
                return this.applyUsage(event.usage);
            case "withdraw":
                return this.applyWithdrawal(event.requestId);
            case "confirm":
                return this.bills.applyConfirmation(event.requestId);
            case "giveBack":
                this.getTotals(event.budget).returned = event.returnedTotal;
                return;
            case "close":
                return this.applyClose(event.id, event.complete);
            case "topUp":
                this.topUps.set(event.topUp.operationId, { ...event.topUp });
                return;
            case "topUpSpendable":
                this.topUps.get(event.operationId)!.spendable = true;
                return;
            case "sidecarSeen":
                this.sidecarsSeen.set(event.box, { incarnation: event.incarnation, at: this.eventCount });
                return;
            case "release":
                this.getTotals(event.budget).unaccounted -= event.tokens;
                return;
            case "snapshot":
                return this.loadSnapshot(event);
        }
    }

    private applyGrant(event: Extract<LedgerEvent, { type: "grant"; }>): void {
        let grant = this.grants.get(event.id);
        if (grant === undefined) {
            grant = {
                id: event.id,
                budget: event.budget,
                router: event.router,
                grantedTotal: 0,
                returnedTotal: 0,
                consumedTotal: 0,
                drawSequence: 0,
                openedAt: this.eventCount,
            };
            this.grants.set(event.id, grant);
        }
        this.getTotals(event.budget).open += event.grantedTotal - grant.grantedTotal;
        grant.grantedTotal = event.grantedTotal;
        grant.drawSequence = event.sequence;
    }

    private applyReturn(id: string, returnedTotal: number): void {
        const grant = this.grants.get(id)!;
        this.getTotals(grant.budget).open -= returnedTotal - grant.returnedTotal;
        grant.returnedTotal = returnedTotal;
    }

    private applyUsage(usage: UsageRecord): void {
        const { consumed, billed } = this.bills.applyUsage(usage);
        if (getGrantLedger(usage.grant) !== this.id) {
            // A grant of an earlier incarnation: its tokens came out of the sealed share, only the bill is kept here.
            this.sealedSpent += billed;
            return;
        }
        const totals = this.getTotals(usage.budget);
        totals.spent += billed;
        const grant = this.grants.get(usage.grant);
        if (grant !== undefined) {
            const open = Ledger.getOpenTokens(grant);
            const covered = Math.min(consumed, open);
            grant.consumedTotal += covered;
            totals.open -= covered;
            this.overspent += consumed - covered;
            return;
        }
        // The grant is closed: a late record can only come out of what was written off with it.
        const covered = Math.min(consumed, totals.unaccounted);
        totals.unaccounted -= covered;
        this.overspent += consumed - covered;
    }

    private applyWithdrawal(requestId: string): void {
        const totals = this.getTotals(this.bills.getBudget(requestId));
        totals.spent -= this.bills.applyWithdrawal(requestId);
    }

    private applyClose(id: string, complete: boolean): void {
        const grant = this.grants.get(id)!;
        const rest = Ledger.getOpenTokens(grant);
        const totals = this.getTotals(grant.budget);
        totals.open -= rest;
        if (!complete) {
            totals.unaccounted += rest;
        }
        this.grants.delete(id);
        this.voidGrants.add(id);
    }

    private getLocalCredit(budget: string): number {
        let credit = 0;
        for (const topUp of this.topUps.values()) {
            if (topUp.budget === budget && topUp.spendable && !this.source.hasTopUp(topUp.operationId)) {
                credit += topUp.tokens;
            }
        }
        return credit;
    }

    private getTotals(budget: string): BudgetTotals {
        let totals = this.totals.get(budget);
        if (totals === undefined) {
            totals = { returned: 0, spent: 0, unaccounted: 0, open: 0 };
            this.totals.set(budget, totals);
        }
        return totals;
    }

    private createSnapshotEvents(): LedgerEvent[] {
        return [{
            type: "snapshot",
            eventCount: this.eventCount,
            totals: [...this.totals],
            grants: [...this.grants.values()],
            topUps: [...this.topUps.values()],
            sidecarsSeen: [...this.sidecarsSeen],
            bills: this.bills.createSnapshot(),
            overspent: this.overspent,
            sealedSpent: this.sealedSpent,
        }];
    }

    private loadSnapshot(event: Extract<LedgerEvent, { type: "snapshot"; }>): void {
        assertInvariant(this.eventCount === 1, "a snapshot is the first event of its journal");
        this.eventCount = event.eventCount;
        this.overspent = event.overspent;
        this.sealedSpent = event.sealedSpent;
        event.totals.forEach(([budget, totals]) => this.totals.set(budget, { ...totals }));
        event.grants.forEach(grant => this.grants.set(grant.id, { ...grant }));
        event.topUps.forEach(topUp => this.topUps.set(topUp.operationId, { ...topUp }));
        event.sidecarsSeen.forEach(([box, seen]) => this.sidecarsSeen.set(box, { ...seen }));
        this.bills.loadSnapshot(event.bills);
    }
}

/** Checks that every token of a share is somewhere, and nothing is negative. */
export function checkLedgerConservation(ledger: Ledger): boolean {
    return ledger.getBudgets().every(budget => {
        const balance = ledger.getBalance(budget);
        const sum = balance.free + balance.open + balance.spent + balance.unaccounted;
        const noneNegative = balance.free >= 0 && balance.open >= 0 && balance.spent >= 0 && balance.unaccounted >= 0;
        const grantsOpen = ledger.getGrants()
            .filter(grant => grant.budget === budget)
            .reduce((total, grant) => total + Ledger.getOpenTokens(grant), 0);
        return sum === balance.allotted - balance.returned && noneNegative && grantsOpen === balance.open;
    });
}
