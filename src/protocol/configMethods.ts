/** RPC methods that distribute the declared configuration to daemons and report their state. */
import * as z from "zod";
import type { ObjectChange } from "../domain/objects.js";
import { createPeerMethod } from "../ports/peer.js";

/** Sent by a controller on subscription and after each change. */
export interface ConfigUpdate {
    /** "snapshot": `changes` holds all objects. "changes": it holds the changes after the revision `from`. */
    readonly type: "snapshot" | "changes";
    readonly changes: readonly ObjectChange[];
    /** Revision that `changes` applies to; a daemon at a lower revision must not apply them. 0 for a snapshot. */
    readonly from: number;
    /** Revision after `changes` are applied. */
    readonly revision: number;
    /** Whether the controller is connected to a majority, so that this is the latest revision. */
    readonly confirmed: boolean;
    /** The controller's current term of the log, for the fencing of orders. */
    readonly term: number;
}

const subscribeSchema = z.object({
    /** The daemon's revision; 0 for none. */
    revision: z.int().min(0),
    /** Address of the daemon's peer listener; empty if it has none. */
    address: z.string().max(128),
});
export const subscribeMethod = createPeerMethod<z.infer<typeof subscribeSchema>, ConfigUpdate>(
    "config.subscribe",
    subscribeSchema,
);

const updateSchema = z.object({
    type: z.enum(["snapshot", "changes"]),
    from: z.int().min(0),
    changes: z.array(z.looseObject({ kind: z.string(), name: z.string(), revision: z.int() })),
    revision: z.int().min(0),
    confirmed: z.boolean(),
    term: z.int().min(0),
});
export const updateMethod = createPeerMethod<ConfigUpdate, void>(
    "config.update",
    updateSchema as unknown as z.ZodType<ConfigUpdate>,
);

/** Boxes that are leaving or gone by the platform's list; all others are live. Sent in full when the list changes. */
const membershipSchema = z.object({ leaving: z.array(z.string()), gone: z.array(z.string()) });
export type MembershipUpdate = z.infer<typeof membershipSchema>;
export const membershipMethod = createPeerMethod<MembershipUpdate, void>("config.membership", membershipSchema);

const reportSchema = z.object({
    revision: z.int().min(0),
    /** Status values by name. */
    figures: z.record(z.string(), z.number()),
});
/** A daemon's state, sent when its revision changes and periodically. */
export const reportMethod = createPeerMethod<z.infer<typeof reportSchema>, void>("config.report", reportSchema);

/** Last known state of a daemon. */
export interface DaemonStatus {
    readonly name: string;
    readonly role: string;
    readonly zone: string;
    readonly incarnation: string;
    readonly address: string;
    readonly revision: number;
    /** Milliseconds since the last message from it. */
    readonly silentMs: number;
    readonly figures: Readonly<Record<string, number>>;
}

/** One controller's part of the fleet status. */
export interface ControllerStatus {
    readonly name: string;
    readonly zone: string;
    readonly term: number;
    readonly leader: string | undefined;
    readonly revision: number;
    readonly appliedIndex: number;
    /** Whether the controller counts towards a majority and is connected to one. */
    readonly connected: boolean;
    readonly daemons: readonly DaemonStatus[];
    readonly ledger: LedgerStatus | undefined;
}

/** A ledger's balances by budget, in tokens. */
export interface LedgerStatus {
    readonly ledger: string;
    readonly overspent: number;
    readonly budgets: Readonly<
        Record<
            string,
            { free: number; open: number; spent: number; unaccounted: number; allotted: number; returned: number; }
        >
    >;
    readonly pendingTopUps: readonly { operationId: string; budget: string; tokens: number; spendable: boolean; }[];
}
export const statusMethod = createPeerMethod<Record<string, unknown>, ControllerStatus>(
    "controller.status",
    z.object({}),
);
