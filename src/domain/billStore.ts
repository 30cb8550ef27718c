/**
 * Bills, merged from usage records. A request is billed the largest consumption of any one of its runs: a run that
 * continues another counts that run's tokens as part of its prompt, so the last run's consumption covers the whole request.
 * Merging takes the maximum, so it is commutative and idempotent.
 */
import * as z from "zod";

/** Token consumption of one run, reported to the grant's ledger by its sidecar or by the router that relayed it. */
export const usageRecord = z.object({
    requestId: z.string().max(300),
    runId: z.string().max(320),
    account: z.string(),
    service: z.string(),
    budget: z.string(),
    grant: z.string(),
    promptTokens: z.int().min(0),
    outputTokens: z.int().min(0),
    /** Whether the request may have another run that this run's router does not know of. */
    uncertain: z.boolean(),
    /** Wall-clock time at which the run ended, in milliseconds since the Unix epoch; used in reports. */
    at: z.number(),
});
export type UsageRecord = z.infer<typeof usageRecord>;

/** Fields that a usage record copies from its run. */
export type UsageSource = Pick<
    UsageRecord,
    "requestId" | "runId" | "account" | "service" | "budget" | "grant" | "uncertain"
>;

/** `at`: wall-clock time in milliseconds since the Unix epoch. */
export function createUsageRecord(
    run: UsageSource,
    consumed: { promptTokens: number; outputTokens: number; },
    at: number,
): UsageRecord {
    const { requestId, runId, account, service, budget, grant, uncertain } = run;
    return { requestId, runId, account, service, budget, grant, ...consumed, uncertain, at };
}

/** The bill of one request in one ledger. */
export interface BillRecord {
    readonly requestId: string;
    readonly account: string;
    readonly service: string;
    readonly budget: string;
    readonly at: number;
    /** Tokens billed: the largest consumption of a single run. */
    tokens: number;
    /** Tokens consumed, by run id. */
    readonly runs: Record<string, number>;
    uncertain: boolean;
    withdrawn: boolean;
}

/** Tokens that a usage record adds to the consumption and to the bill. */
export interface UsageEffect {
    readonly consumed: number;
    readonly billed: number;
}

/** The bills of one ledger, in order of arrival. */
export class BillStore {
    private readonly bills = new Map<string, BillRecord>();

    tryGet(requestId: string): BillRecord | undefined {
        return this.bills.get(requestId);
    }

    /** Returns the budget of an existing bill. */
    getBudget(requestId: string): string {
        return this.bills.get(requestId)!.budget;
    }

    getNewest(limit: number): BillRecord[] {
        return [...this.bills.values()].slice(-limit);
    }

    getUncertain(): BillRecord[] {
        return [...this.bills.values()].filter(bill => bill.uncertain && !bill.withdrawn);
    }

    /** Whether the record is of an unknown run or raises the run's consumption. */
    addsUsage(usage: UsageRecord): boolean {
        const known = this.bills.get(usage.requestId)?.runs[usage.runId];
        return known === undefined || getConsumedTokens(usage) > known;
    }

    applyUsage(usage: UsageRecord): UsageEffect {
        const bill = this.getOrCreate(usage);
        const previousTokens = bill.runs[usage.runId] ?? 0;
        const runTokens = Math.max(previousTokens, getConsumedTokens(usage));
        bill.runs[usage.runId] = runTokens;
        const previouslyBilled = bill.tokens;
        bill.tokens = Math.max(previouslyBilled, runTokens);
        const billed = bill.withdrawn ? 0 : bill.tokens - previouslyBilled;
        return { consumed: runTokens - previousTokens, billed };
    }

    /** Marks a bill as withdrawn and returns the tokens that it billed. */
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

export function getConsumedTokens(usage: UsageRecord): number {
    return usage.promptTokens + usage.outputTokens;
}
