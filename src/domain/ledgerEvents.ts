/** Record types of the ledger's journal. */
import type { BillRecord, UsageRecord } from "./billStore.js";
import type { LedgerGrant, StoredTopUp } from "./ledger.js";

/** A change of a ledger. Grants, returns and usage carry cumulative totals. */
export type LedgerEvent =
    | {
        readonly type: "grant";
        readonly id: string;
        readonly router: string;
        readonly budget: string;
        readonly sequence: number;
        readonly grantedTotal: number;
    }
    | { readonly type: "return"; readonly id: string; readonly returnedTotal: number; }
    | { readonly type: "usage"; readonly usage: UsageRecord; }
    | { readonly type: "withdraw"; readonly requestId: string; readonly billedBy: string; }
    | { readonly type: "confirm"; readonly requestId: string; }
    | { readonly type: "giveBack"; readonly budget: string; readonly returnedTotal: number; }
    | { readonly type: "close"; readonly id: string; readonly complete: boolean; }
    | { readonly type: "topUp"; readonly topUp: StoredTopUp; }
    | { readonly type: "topUpSpendable"; readonly operationId: string; }
    | { readonly type: "sidecarSeen"; readonly box: string; readonly incarnation: string; }
    | { readonly type: "release"; readonly budget: string; readonly tokens: number; }
    | LedgerSnapshotEvent;

/** The complete state of a ledger; always the first record of a compacted journal. */
export interface LedgerSnapshotEvent {
    readonly type: "snapshot";
    readonly eventCount: number;
    readonly overspent: number;
    readonly sealedSpent: number;
    readonly totals:
        readonly (readonly [string, { returned: number; spent: number; unaccounted: number; open: number; }])[];
    readonly grants: readonly LedgerGrant[];
    readonly topUps: readonly StoredTopUp[];
    readonly sidecarsSeen: readonly (readonly [string, { incarnation: string; at: number; }])[];
    readonly bills: readonly BillRecord[];
}
