/**
 * Bills, merged from usage records. A request is billed the largest consumption of any one of its runs: a run that
 * continues another counts the other's tokens as its own prompt, so the last run's figure is the whole request's.
 * Merging takes the greater value, so the order and number of copies do not matter.
 */
import * as z from "zod";

/** What one run consumed, as its sidecar (or the router that relayed it) tells the grant's ledger. Tokens. */
export const usageRecord = z.object({
    requestId: z.string().max(300),
    runId: z.string().max(320),
    account: z.string(),
    service: z.string(),
    budget: z.string(),
    grant: z.string(),
    promptTokens: z.int().min(0),
    outputTokens: z.int().min(0),
    /** Whether another run of the request may exist that this one's router could not know of. */
    uncertain: z.boolean(),
    /** Wall clock at the run's end, in milliseconds since 1970, for reports. */
    at: z.number(),
});
export type UsageRecord = z.infer<typeof usageRecord>;

/** What of a run its usage record repeats. */
export type UsageSource = Pick<
    UsageRecord,
    "requestId" | "runId" | "account" | "service" | "budget" | "grant" | "uncertain"
>;

/** The usage record of a run that consumed this much. `at`: wall clock, milliseconds since 1970. */
export function createUsageRecord(
    run: UsageSource,
    consumed: { promptTokens: number; outputTokens: number; },
    at: number,
): UsageRecord {
    const { requestId, runId, account, service, budget, grant, uncertain } = run;
    return { requestId, runId, account, service, budget, grant, ...consumed, uncertain, at };
}

/** One request's bill in one ledger. */
export interface BillRecord {
    readonly requestId: string;
    readonly account: string;
    readonly service: string;
    readonly budget: string;
    readonly at: number;
    /** Tokens billed: the greatest consumption of a single run. */
    tokens: number;
    /** Tokens consumed by each run. */
    readonly runs: Record<string, number>;
    uncertain: boolean;
    withdrawn: boolean;
}

/** What a usage record changes: tokens newly consumed, and tokens newly billed. */
export interface UsageEffect {
    readonly consumed: number;
    readonly billed: number;
}

/** The bills of one ledger, in order of arrival. */
export class BillBook {
    private readonly bills = new Map<string, BillRecord>();

    tryGet(requestId: string): BillRecord | undefined {
        return this.bills.get(requestId);
    }

    /** The budget a known request is billed to. */
    getBudget(requestId: string): string {
        return this.bills.get(requestId)!.budget;
    }

    getNewest(limit: number): BillRecord[] {
        return [...this.bills.values()].slice(-limit);
    }

    getUncertain(): BillRecord[] {
        return [...this.bills.values()].filter(bill => bill.uncertain && !bill.withdrawn);
    }

    /** Whether a record tells anything that is not known yet. */
    isNews(usage: UsageRecord): boolean {
        const known = this.bills.get(usage.requestId)?.runs[usage.runId];
        return known === undefined || getConsumed(usage) > known;
    }

    applyUsage(usage: UsageRecord): UsageEffect {
        const bill = this.getOrCreate(usage);
        const before = bill.runs[usage.runId] ?? 0;
        const now = Math.max(before, getConsumed(usage));
        bill.runs[usage.runId] = now;
        const billedBefore = bill.tokens;
        bill.tokens = Math.max(billedBefore, now);
        const billed = bill.withdrawn ? 0 : bill.tokens - billedBefore;
        return { consumed: now - before, billed };
    }

    /** Marks a bill as withdrawn; answers the tokens it no longer bills. */
    applyWithdrawal(requestId: string): number {
        const bill = this.bills.get(requestId);
        if (bill === undefined || bill.withdrawn) {
            return 0;
        }
        bill.withdrawn = true;
        return bill.tokens;
    }

    applyConfirmation(requestId: string): void {
        const bill = this.bills.get(requestId);
        if (bill !== undefined) {
            bill.uncertain = false;
        }
    }

    removeOlderThan(before: number): void {
        for (const [requestId, bill] of this.bills) {
            if (bill.at >= before) {
                return;
            }
            if (!bill.uncertain) {
                this.bills.delete(requestId);
            }
        }
    }

    createSnapshot(): BillRecord[] {
        return structuredClone([...this.bills.values()]);
    }

    loadSnapshot(records: readonly BillRecord[]): void {
        for (const record of records) {
            this.bills.set(record.requestId, structuredClone(record));
        }
    }

    private getOrCreate(usage: UsageRecord): BillRecord {
        let bill = this.bills.get(usage.requestId);
        if (bill === undefined) {
            bill = {
                requestId: usage.requestId,
                account: usage.account,
                service: usage.service,
                budget: usage.budget,
                at: usage.at,
                tokens: 0,
                runs: {},
                uncertain: false,
                withdrawn: false,
            };
            this.bills.set(usage.requestId, bill);
        }
        bill.uncertain ||= usage.uncertain;
        return bill;
    }
}

/** Tokens a run consumed in all. */
export function getConsumed(usage: UsageRecord): number {
    return usage.promptTokens + usage.outputTokens;
}
