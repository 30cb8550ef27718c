/**
 * The ledger of one controller incarnation: accounts for the tokens of the shares allotted to it. Every change is synced
 * to the journal before it is acknowledged.
 *
 * Invariant for each budget: allotted - returned = free + open grants + spent + unaccounted.
 */
import type { Journal } from "../ports/journal.js";
import { type BillRecord, BillStore, type UsageRecord } from "./billStore.js";
import { getGrantLedger } from "./identifiers.js";
import type { LedgerEvent } from "./ledgerEvents.js";
import type { BudgetSpec } from "./objects.js";
import { assertInvariant, createRefusal, type Refusal } from "./resultCodes.js";

/** Tokens that one router may reserve from. All totals are monotonic. */
export interface LedgerGrant {
    readonly id: string;
    readonly budget: string;
    readonly router: string;
    grantedTotal: number;
    returnedTotal: number;
    consumedTotal: number;
    /** Sequence number of the last draw; makes draws idempotent. */
    drawSequence: number;
    /** Number of the journal event that opened the grant. */
    readonly openedAt: number;
}

/** The balance of one budget in this ledger, in tokens. */
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

/** A top-up stored by its home ledger. */
export interface StoredTopUp {
    readonly operationId: string;
    readonly operator: string;
    readonly budget: string;
    readonly tokens: number;
    /** Replication required by the budget's spec when the top-up was stored. */
    readonly copies: BudgetSpec["topUpCopies"];
    /** Whether the zone holds enough copies to spend the top-up before it is committed to the log. */
    spendable: boolean;
}

export type DrawResult =
    | { readonly type: "granted"; readonly grantedTotal: number; }
    | { readonly type: "refused"; readonly refusal: Refusal; };

/** What the applied part of the replicated log has allotted to a ledger. */
export abstract class ShareSource {
    /** Cumulative tokens allotted to this ledger. */
    abstract getAllotted(budget: string): number;
    /** Whether the log contains the top-up, in which case `getAllotted` includes it. */
    abstract hasTopUp(operationId: string): boolean;
}

/** Methods that return a promise resolve once their journal record is synced. */
export class Ledger {
    private readonly totals = new Map<string, BudgetTotals>();
    private readonly grants = new Map<string, LedgerGrant>();
    private readonly closedGrantIds = new Set<string>();
    private readonly topUps = new Map<string, StoredTopUp>();
    private readonly sidecarsSeen = new Map<string, { incarnation: string; at: number; }>();
    private readonly bills = new BillStore();
    private eventCount = 0;
    /** Resolves when the newest record is synced. Appends are ordered, so all earlier records are synced as well. */
    private lastWrite: Promise<void> = Promise.resolve();
    /** Tokens consumed in excess of grants. Any value other than 0 indicates a bug. */
    overspent = 0;
    /** Tokens billed here but consumed under grants of sealed incarnations. */
    sealedSpent = 0;

    constructor(
        readonly id: string,
        private readonly journal: Journal,
        private readonly shareSource: ShareSource,
        events: readonly LedgerEvent[] = [],
    ) {
        events.forEach(event => this.applyEvent(event));
    }

    getBalance(budget: string): LedgerBalance {
        const totals = this.getOrCreateTotals(budget);
        const allotted = this.shareSource.getAllotted(budget) + this.computeUnreplicatedCredit(budget);
        return {
            allotted,
            returned: totals.returned,
            free: allotted - totals.returned - totals.spent - totals.unaccounted - totals.open,
            open: totals.open,
            spent: totals.spent,
            unaccounted: totals.unaccounted,
        };
    }

    /** Names of all budgets with totals or top-ups in this ledger. */
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

    /** Tokens of a grant that are neither consumed nor returned. */
    static getOpenTokens(grant: LedgerGrant): number {
        return grant.grantedTotal - grant.returnedTotal - grant.consumedTotal;
    }

    /**
     * Raises a grant by up to `wantedTokens`, limited by the free tokens; refuses if fewer than `minTokens` are free.
     * Opens the grant if it does not exist. Idempotent: a repeated `sequence` returns the current total.
     */
    async draw(
        grantId: string,
        router: string,
        budget: string,
        sequence: number,
        minTokens: number,
        wantedTokens: number,
    ): Promise<DrawResult> {
        const known = this.grants.get(grantId);
        if (known !== undefined && sequence <= known.drawSequence) {
            await this.waitForLastWrite();
            return { type: "granted", grantedTotal: known.grantedTotal };
        }
        if (this.closedGrantIds.has(grantId)) {
            return { type: "refused", refusal: createRefusal("grantClosed", grantId) };
        }
        const free = this.getBalance(budget).free;
        if (free < minTokens) {
            return {
                type: "refused",
                refusal: createRefusal("budgetExhausted", `${free} of ${minTokens} tokens free`),
            };
        }
        const tokens = Math.min(Math.max(minTokens, wantedTokens), free);
        const grantedTotal = (known?.grantedTotal ?? 0) + tokens;
        await this.record({ type: "grant", id: grantId, router, budget, sequence, grantedTotal });
        return { type: "granted", grantedTotal };
    }

    /** Records the cumulative tokens that a router has returned from a grant. */
    async returnGrant(grantId: string, returnedTotal: number): Promise<void> {
        const grant = this.grants.get(grantId);
        if (grant === undefined) {
            this.closedGrantIds.add(grantId);
            return;
        }
        const bounded = Math.min(returnedTotal, grant.grantedTotal - grant.consumedTotal);
        if (bounded > grant.returnedTotal) {
            await this.record({ type: "return", id: grantId, returnedTotal: bounded });
        }
        await this.waitForLastWrite();
    }

    /** Records the consumption of a run. Duplicates, whether from the sidecar or the router, are billed once. */
    async recordUsage(usage: UsageRecord): Promise<void> {
        if (this.bills.addsUsage(usage)) {
            await this.record({ type: "usage", usage });
        }
        await this.waitForLastWrite();
    }

    tryGetBill(requestId: string): BillRecord | undefined {
        return this.bills.tryGet(requestId);
    }

    /** Returns up to `limit` of the newest bills, newest last. */
    getBills(limit: number): BillRecord[] {
        return this.bills.getNewest(limit);
    }

    /** Withdraws a bill because another ledger bills the same request; its tokens become free. */
    async withdrawBill(requestId: string, billedBy: string): Promise<void> {
        if (this.bills.tryGet(requestId)?.withdrawn === false) {
            await this.record({ type: "withdraw", requestId, billedBy });
        }
    }

    /** Bills that another ledger may hold as well and that have not been reconciled yet. */
    getUncertainBills(): BillRecord[] {
        return this.bills.getUncertain();
    }

    async confirmBill(requestId: string): Promise<void> {
        await this.record({ type: "confirm", requestId });
    }

    /**
     * Permanently returns up to `tokens` free tokens, and resolves with the number returned. They become unallocated
     * when the share report is committed.
     */
    async returnFreeTokens(budget: string, tokens: number): Promise<number> {
        const returnedTokens = Math.min(tokens, this.getBalance(budget).free);
        if (returnedTokens <= 0) {
            return 0;
        }
        await this.record({
            type: "giveBack",
            budget,
            returnedTotal: this.getOrCreateTotals(budget).returned + returnedTokens,
        });
        return returnedTokens;
    }

    /**
     * Closes a grant that is no longer in use. `complete`: every sidecar that may have run requests under the grant has
     * reported, so its open tokens become free; otherwise they are written off as unaccounted.
     */
    async closeGrant(grantId: string, complete: boolean): Promise<void> {
        if (this.grants.has(grantId)) {
            await this.record({ type: "close", id: grantId, complete });
        }
    }

    /** Stores a top-up. Idempotent; refuses an operation id that was used with a different budget or amount. */
    async storeTopUp(topUp: StoredTopUp): Promise<Refusal | undefined> {
        const known = this.topUps.get(topUp.operationId);
        if (known === undefined) {
            await this.record({ type: "topUp", topUp });
            return undefined;
        }
        if (known.budget !== topUp.budget || known.tokens !== topUp.tokens) {
            return createRefusal("operationReused", topUp.operationId);
        }
        await this.waitForLastWrite();
        return undefined;
    }

    async markTopUpSpendable(operationId: string): Promise<void> {
        if (this.topUps.get(operationId)?.spendable === false) {
            await this.record({ type: "topUpSpendable", operationId });
        }
        await this.waitForLastWrite();
    }

    tryGetTopUp(operationId: string): StoredTopUp | undefined {
        return this.topUps.get(operationId);
    }

    /** Top-ups that are not in the log yet. */
    getPendingTopUps(): StoredTopUp[] {
        return [...this.topUps.values()].filter(topUp => !this.shareSource.hasTopUp(topUp.operationId));
    }

    /** Records a sidecar's incarnation. Its reports are conclusive only for grants opened after this record. */
    async recordSidecarIncarnation(box: string, incarnation: string): Promise<void> {
        if (this.sidecarsSeen.get(box)?.incarnation !== incarnation) {
            await this.record({ type: "sidecarSeen", box, incarnation });
        }
    }

    /** Whether the sidecar incarnation was recorded before the grant was opened, so that its report covers all runs. */
    isCoveredBySidecar(grant: LedgerGrant, box: string, incarnation: string): boolean {
        const seen = this.sidecarsSeen.get(box);
        return seen !== undefined && seen.incarnation === incarnation && seen.at < grant.openedAt;
    }

    /** Makes up to `tokens` unaccounted tokens free again at an operator's request, and resolves with the number. */
    async releaseUnaccounted(budget: string, tokens: number): Promise<number> {
        const released = Math.min(tokens, this.getOrCreateTotals(budget).unaccounted);
        if (released > 0) {
            await this.record({ type: "release", budget, tokens: released });
        }
        return released;
    }

    /** Replaces the journal's records with a snapshot of the current state. */
    async compact(): Promise<void> {
        await this.journal.replaceAll(this.createSnapshotEvents());
    }

    getJournalSize(): number {
        return this.journal.getSize();
    }

    /** Removes bills that are too old for their requests to be resent. */
    removeOldBills(before: number): void {
        this.bills.removeOlderThan(before);
    }

    /** Applies the event before it is synced, so that concurrent calls cannot allocate the same tokens twice. */
    private async record(event: LedgerEvent): Promise<void> {
        this.applyEvent(event);
        this.lastWrite = this.journal.append(event);
        await this.lastWrite;
    }

    /** Waits until the state that an answer without a record of its own depends on is synced. */
    private async waitForLastWrite(): Promise<void> {
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
                this.getOrCreateTotals(event.budget).returned = event.returnedTotal;
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
                this.getOrCreateTotals(event.budget).unaccounted -= event.tokens;
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
        this.getOrCreateTotals(event.budget).open += event.grantedTotal - grant.grantedTotal;
        grant.grantedTotal = event.grantedTotal;
        grant.drawSequence = event.sequence;
    }

    private applyReturn(id: string, returnedTotal: number): void {
        const grant = this.grants.get(id)!;
        this.getOrCreateTotals(grant.budget).open -= returnedTotal - grant.returnedTotal;
        grant.returnedTotal = returnedTotal;
    }

    private applyUsage(usage: UsageRecord): void {
        const { consumed, billed } = this.bills.applyUsage(usage);
        if (getGrantLedger(usage.grant) !== this.id) {
            // The grant belongs to an earlier incarnation, whose sealed share covers its tokens. Only the bill is kept here.
            this.sealedSpent += billed;
            return;
        }
        const totals = this.getOrCreateTotals(usage.budget);
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
        // The grant is closed, so a late record can only be covered by tokens that were written off.
        const covered = Math.min(consumed, totals.unaccounted);
        totals.unaccounted -= covered;
        this.overspent += consumed - covered;
    }

    private applyWithdrawal(requestId: string): void {
        const totals = this.getOrCreateTotals(this.bills.getBudget(requestId));
        totals.spent -= this.bills.applyWithdrawal(requestId);
    }

    private applyClose(id: string, complete: boolean): void {
        const grant = this.grants.get(id)!;
        const openTokens = Ledger.getOpenTokens(grant);
        const totals = this.getOrCreateTotals(grant.budget);
        totals.open -= openTokens;
        if (!complete) {
            totals.unaccounted += openTokens;
        }
        this.grants.delete(id);
        this.closedGrantIds.add(id);
    }

    private computeUnreplicatedCredit(budget: string): number {
        let credit = 0;
        for (const topUp of this.topUps.values()) {
            if (topUp.budget === budget && topUp.spendable && !this.shareSource.hasTopUp(topUp.operationId)) {
                credit += topUp.tokens;
            }
        }
        return credit;
    }

    private getOrCreateTotals(budget: string): BudgetTotals {
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

/** Whether every balance adds up to the tokens of its share, matches the open grants and has no negative part. */
export function isLedgerConserved(ledger: Ledger): boolean {
    return ledger.getBudgets().every(budget => {
        const balance = ledger.getBalance(budget);
        const sum = balance.free + balance.open + balance.spent + balance.unaccounted;
        const noneNegative = balance.free >= 0 && balance.open >= 0 && balance.spent >= 0 && balance.unaccounted >= 0;
        const openGrantTokens = ledger.getGrants()
            .filter(grant => grant.budget === budget)
            .reduce((total, grant) => total + Ledger.getOpenTokens(grant), 0);
        return sum === balance.allotted - balance.returned && noneNegative && openGrantTokens === balance.open;
    });
}
