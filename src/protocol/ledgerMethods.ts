/** How routers and sidecars speak with a ledger. All amounts in tokens. */
import * as z from "zod";
import { type BillRecord, type UsageRecord, usageRecord } from "../domain/billStore.js";
import { type TopUpRequest, topUpRequest } from "../domain/objects.js";
import { createPeerMethod } from "../ports/peer.js";

const grantId = z.string().max(256);
const amount = z.int().min(0);

const drawSchema = z.object({
    grant: grantId,
    budget: z.string().max(63),
    /** Grows by one with each draw on a grant. */
    sequence: z.int().min(1),
    /** Least that is of use; less is refused. */
    need: amount,
    /** What the router's demand makes sensible. */
    want: amount,
});
export interface DrawAnswer {
    /** Granted so far, in total. */
    readonly grantedTotal: number;
}
export const drawMethod = createPeerMethod<z.infer<typeof drawSchema>, DrawAnswer>("ledger.draw", drawSchema);

/** Which ledger a controller runs, and how long a router may use a grant of it. */
export interface LedgerInfo {
    readonly ledger: string;
    readonly grantLifeMs: number;
}
export const ledgerInfoMethod = createPeerMethod<Record<string, unknown>, LedgerInfo>("ledger.info", z.object({}));

const returnSchema = z.object({
    grants: z.array(z.object({
        grant: grantId,
        returnedTotal: amount,
        /** Whether the router has no run under the grant any more, so that it can be closed. */
        done: z.boolean(),
    })).max(1000),
});
export const returnMethod = createPeerMethod<z.infer<typeof returnSchema>, void>("ledger.return", returnSchema);

const usageSchema = z.object({ records: z.array(usageRecord).max(1000) });
export const usageMethod = createPeerMethod<{ records: UsageRecord[]; }, void>("ledger.usage", usageSchema);

/** Asks a router to give back what it does not need. */
export const recallGrantMethod = createPeerMethod<{ budget: string; }, { returned: number; }>(
    "router.recall",
    z.object({ budget: z.string() }),
);

/** Asks a ledger to give back what it can spare, up to `tokens`. */
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
    /** Disks that hold the top-up, as far as is known. */
    readonly replicas: number;
    /** Boxes that hold it in memory besides. */
    readonly witnesses: number;
}
export const topUpMethod = createPeerMethod<TopUpRequest, TopUpAnswer>("ledger.topUp", topUpRequest);

const intentSchema = z.object({
    requestId: z.string().max(300),
    digest: z.string().max(64),
    /** Names one attempt of one router; the same owner may ask again. */
    owner: z.string().max(200),
});
/** "granted": the owner alone may dispatch. "taken": another owner may have dispatched. "closed": it is known how it ended. */
export type IntentAnswer =
    | { readonly type: "granted"; }
    | { readonly type: "taken"; readonly digest: string; readonly owner: string; };
/** Stores, before a not-repeatable request is dispatched, who may dispatch it. */
export const intendMethod = createPeerMethod<z.infer<typeof intentSchema>, IntentAnswer>("ledger.intend", intentSchema);

/** The owner says that nothing ran under its intent, so that a later attempt may. */
export const withdrawIntentMethod = createPeerMethod<z.infer<typeof intentSchema>, void>(
    "ledger.withdrawIntent",
    intentSchema,
);
