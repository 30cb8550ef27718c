/** Commands of the replicated log. Every controller applies each of them once, in log order. */
import * as z from "zod";
import { prepaidReportCommand, putBundleCommand } from "./bundleCommands.js";
import { setEvacuationCommand } from "./evacuationCommands.js";
import { nameSchema, objectChangeRequest, topUpRequest } from "./objects.js";
import { releaseRepeatPermitsCommand, reserveRepeatPermitsCommand } from "./repeatPermitCommands.js";
import { addServiceVersionCommand, removeServiceVersionCommand } from "./serviceVersionCommands.js";
import {
    clearAttributesCommand,
    clearRequestsCommand,
    forgetUpstreamEndsCommand,
    recordUpstreamEndCommand,
} from "./upstreamEndCommands.js";

const ledgerId = z.string().min(3).max(128);
const count = z.int().min(0);

/** Registers a new incarnation of a controller's ledger and seals its earlier incarnations. */
export const registerLedgerCommand = z.strictObject({
    type: z.literal("registerLedger"),
    controller: nameSchema,
    zone: nameSchema,
    ledger: ledgerId,
});

/** Credits a top-up stored by its home ledger. `ledger` is set if that ledger has already made it spendable. */
export const creditTopUpCommand = topUpRequest.extend({
    type: z.literal("creditTopUp"),
    ledger: ledgerId.optional(),
});

/** Moves up to `tokens` unallocated tokens to a ledger's share. `sequence` makes the command idempotent. */
export const allotCommand = z.strictObject({
    type: z.literal("allot"),
    ledger: ledgerId,
    budget: nameSchema,
    sequence: z.int().min(1),
    tokens: z.int().min(1),
});

/** A ledger's report of its shares. Returned tokens are cumulative, so that a resend does not return them twice. */
export const reportSharesCommand = z.strictObject({
    type: z.literal("reportShares"),
    ledger: ledgerId,
    shares: z.array(z.strictObject({
        budget: nameSchema,
        /** Cumulative tokens returned; they become unallocated when the report is applied. */
        returnedTotal: count,
        /** Tokens spent so far, less withdrawn bills. */
        spentTotal: count,
        /** Tokens written off because their consumption is unknown. */
        unaccountedTotal: count,
        /** Moving average of the draw rate, in tokens per second. */
        demand: z.number().min(0),
    })).max(2000),
});

/** Maximum number of replicas of the log. */
export const MAX_REPLICAS = 64;

/** A replica of the log. A non-voting replica receives entries but does not count towards a majority. */
export const replicaSchema = z.strictObject({
    name: z.string().min(1).max(128),
    /** Address for other replicas, as HOST:PORT. */
    address: z.string().min(3).max(128),
    voting: z.boolean(),
});

/**
 * Replaces the set of replicas. Takes effect when the entry is appended, not when it is committed, and changes one replica
 * at a time (Raft, section 6).
 */
export const setReplicasCommand = z.strictObject({
    type: z.literal("setReplicas"),
    replicas: z.array(replicaSchema).min(1).max(MAX_REPLICAS),
});
export type Replica = z.infer<typeof replicaSchema>;

/** Has no effect. A new leader appends it to commit entries of earlier terms. */
export const noopCommand = z.strictObject({ type: z.literal("noop") });

export const commandSchema = z.union([
    objectChangeRequest,
    registerLedgerCommand,
    creditTopUpCommand,
    allotCommand,
    reportSharesCommand,
    setReplicasCommand,
    putBundleCommand,
    prepaidReportCommand,
    recordUpstreamEndCommand,
    clearRequestsCommand,
    clearAttributesCommand,
    forgetUpstreamEndsCommand,
    setEvacuationCommand,
    addServiceVersionCommand,
    removeServiceVersionCommand,
    reserveRepeatPermitsCommand,
    releaseRepeatPermitsCommand,
    noopCommand,
]);
export type Command = z.infer<typeof commandSchema>;
export type AllotCommand = z.infer<typeof allotCommand>;
export type CreditTopUpCommand = z.infer<typeof creditTopUpCommand>;
export type ReportSharesCommand = z.infer<typeof reportSharesCommand>;
export type ShareReport = ReportSharesCommand["shares"][number];
export type RegisterLedgerCommand = z.infer<typeof registerLedgerCommand>;

/** An entry of the replicated log. `at` is the leader's wall-clock time, used only by the audit trail. */
export interface LogEntry {
    readonly index: number;
    readonly term: number;
    readonly at: number;
    readonly command: Command;
}
