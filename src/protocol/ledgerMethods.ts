/** RPC methods of a ledger for routers and sidecars. All amounts are in tokens. */
import * as z from "zod";
import { type BillRecord, type UsageRecord, usageRecord } from "../domain/billStore.js";
import { type TopUpRequest, topUpRequest } from "../domain/objects.js";
import { createPeerMethod } from "../ports/peer.js";

const grantId = z.string().max(256);
const amount = z.int().min(0);

const drawSchema = z.object({
    grant: grantId,
    budget: z.string().max(63),
    /** Incremented with each draw on a grant. */
    sequence: z.int().min(1),
    /** Minimum amount; the draw is refused if it is not available. */
    need: amount,
    /** Amount that matches the router's demand. */
    want: amount,
});
export interface DrawAnswer {
    /** Cumulative amount of the grant. */
    readonly grantedTotal: number;
}
export const drawMethod = createPeerMethod<z.infer<typeof drawSchema>, DrawAnswer>("ledger.draw", drawSchema);

/** The ledger that a controller runs, and the lifetime of its grants. */
export interface LedgerInfo {
    readonly ledger: string;
    readonly grantLifeMs: number;
}
export const ledgerInfoMethod = createPeerMethod<Record<string, unknown>, LedgerInfo>("ledger.info", z.object({}));

const returnSchema = z.object({
    grants: z.array(z.object({
        grant: grantId,
        returnedTotal: amount,
        /** Whether the router has no more runs under the grant, so that it can be closed. */
        done: z.boolean(),
    })).max(1000),
});
export const returnMethod = createPeerMethod<z.infer<typeof returnSchema>, void>("ledger.return", returnSchema);

const usageSchema = z.object({ records: z.array(usageRecord).max(1000) });
export const usageMethod = createPeerMethod<{ records: UsageRecord[]; }, void>("ledger.usage", usageSchema);

/** Asks a router to return the tokens that it does not need. */
export const recallGrantMethod = createPeerMethod<{ budget: string; }, { returned: number; }>(
    "router.recall",
    z.object({ budget: z.string() }),
);

/** Asks a ledger to return up to `tokens` of its unused share. */
const recallSchema = z.object({ budget: z.string(), tokens: amount });
export const recallShareMethod = createPeerMethod<z.infer<typeof recallSchema>, { given: number; }>(
    "ledger.recall",
    recallSchema,
);

export const findBillMethod = createPeerMethod<{ requestId: string; }, { bill?: BillRecord; }>(
    "ledger.findBill",
    z.object({ requestId: z.string() }),
);

export interface TopUpAnswer {
    /** Whether the tokens can be spent now. */
    readonly spendable: boolean;
    /** Number of disks known to hold the top-up. */
    readonly replicas: number;
    /** Number of further boxes that hold it in memory. */
    readonly witnesses: number;
}
export const topUpMethod = createPeerMethod<TopUpRequest, TopUpAnswer>("ledger.topUp", topUpRequest);

const intentSchema = z.object({
    requestId: z.string().max(300),
    digest: z.string().max(64),
    /** Identifies one attempt of one router; the same owner may repeat the call. */
    owner: z.string().max(200),
});
/** "granted": only the owner may dispatch. "taken": another owner may have dispatched. */
export type IntentAnswer =
    | { readonly type: "granted"; }
    | { readonly type: "taken"; readonly digest: string; readonly owner: string; };
/** Records who may dispatch a non-repeatable request, before it is dispatched. */
export const intendMethod = createPeerMethod<z.infer<typeof intentSchema>, IntentAnswer>("ledger.intend", intentSchema);

/** Withdraws an intent under which nothing ran, so that a later attempt may dispatch. */
export const withdrawIntentMethod = createPeerMethod<z.infer<typeof intentSchema>, void>(
    "ledger.withdrawIntent",
    intentSchema,
);
