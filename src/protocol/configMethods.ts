/** How the declared configuration reaches the daemons, and how they say what they run. */
import * as z from "zod";
import type { ObjectChange } from "../domain/objects.js";
import { createPeerMethod } from "../ports/peer.js";

/** What a controller sends first and after each change. */
export interface ConfigUpdate {
    /** "snapshot": `changes` is everything there is; "changes": what came after the subscriber's revision. */
    readonly type: "snapshot" | "changes";
    readonly changes: readonly ObjectChange[];
    /** Revision that `changes` starts after; a daemon that is not there yet must not take them. 0 for a snapshot. */
    readonly from: number;
    /** Revision the daemon is at once these are applied. */
    readonly revision: number;
    /** Whether the controller is connected to a majority, so that this is the newest there is. */
    readonly confirmed: boolean;
    /** Term of the log as the controller knows it, for the fencing of orders. */
    readonly term: number;
}

const subscribeSchema = z.object({
    /** Revision the daemon has; 0 for none. */
    revision: z.int().min(0),
    /** Where the daemon's peer listener is reached; empty where it has none. */
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

/** What the platform's list says of boxes, sent whole when it changes. Boxes that are neither are live. */
const membershipSchema = z.object({ leaving: z.array(z.string()), gone: z.array(z.string()) });
export type MembershipUpdate = z.infer<typeof membershipSchema>;
export const membershipMethod = createPeerMethod<MembershipUpdate, void>("config.membership", membershipSchema);

const reportSchema = z.object({
    revision: z.int().min(0),
    /** Numbers worth a glance, by name. */
    figures: z.record(z.string(), z.number()),
});
/** A daemon's state, sent when its revision changes and now and then in between. */
export const reportMethod = createPeerMethod<z.infer<typeof reportSchema>, void>("config.report", reportSchema);

/** One daemon as its controller last heard of it. */
export interface DaemonStatus {
    readonly name: string;
    readonly role: string;
    readonly zone: string;
    readonly incarnation: string;
    readonly address: string;
    readonly revision: number;
    /** Milliseconds since it was last heard. */
    readonly silentMs: number;
    readonly figures: Readonly<Record<string, number>>;
}

/** One controller's own part of the status. */
export interface ControllerStatus {
    readonly name: string;
    readonly zone: string;
    readonly term: number;
    readonly leader: string | undefined;
    readonly revision: number;
    readonly appliedIndex: number;
    readonly connected: boolean;
    readonly daemons: readonly DaemonStatus[];
    readonly ledger: LedgerStatus | undefined;
}

/** A ledger's balances by budget. Tokens. */
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
