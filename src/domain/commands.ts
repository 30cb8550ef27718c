/** The commands of the replicated log. Each is applied once on every controller, in the log's order. */
import * as z from "zod";
import { prepaidReportCommand, putBundleCommand } from "./bundleCommands.js";
import { setEvacuationCommand } from "./evacuationCommands.js";
import { nameSchema, objectChangeRequest, topUpRequest } from "./objects.js";
import { clearRequestsCommand, forgetUpstreamEndsCommand, recordUpstreamEndCommand } from "./upstreamEndCommands.js";

const ledgerId = z.string().min(3).max(128);
const count = z.int().min(0);

/** A controller's ledger begins an incarnation; older incarnations of it are sealed. */
export const registerLedgerCommand = z.strictObject({
    type: z.literal("registerLedger"),
    controller: nameSchema,
    zone: nameSchema,
    ledger: ledgerId,
});

/** A top-up its home has stored. `ledger` is set where that ledger has made it spendable already. */
export const creditTopUpCommand = topUpRequest.extend({
    type: z.literal("creditTopUp"),
    ledger: ledgerId.optional(),
});

/** Moves up to `tokens` from what is unallocated to a ledger's share. `sequence` makes a resend harmless. */
export const allotCommand = z.strictObject({
    type: z.literal("allot"),
    ledger: ledgerId,
    budget: nameSchema,
    sequence: z.int().min(1),
    tokens: z.int().min(1),
});

/** What a ledger tells of its shares. All totals only grow, so that a resend or an old copy is harmless. */
export const reportSharesCommand = z.strictObject({
    type: z.literal("reportShares"),
    ledger: ledgerId,
    shares: z.array(z.strictObject({
        budget: nameSchema,
        /** Tokens given back so far; they are unallocated once this is applied. */
        returnedTotal: count,
        /** Tokens spent so far. */
        spentTotal: count,
        /** Tokens written off so far, because nobody can account for them. */
        unaccountedTotal: count,
        /** Tokens a second drawn lately, as a moving average. */
        demand: z.number().min(0),
    })).max(2000),
});

/** One replica of the log. A replica that does not vote is copied to, and counts for no majority. */
export const replicaSchema = z.strictObject({
    name: z.string().min(1).max(128),
    /** Where the others reach it, HOST:PORT. */
    address: z.string().min(3).max(128),
    voting: z.boolean(),
});

/** The replicas of the log from this entry on. In force as soon as it is in a log (Raft, section 6, one at a time). */
export const setReplicasCommand = z.strictObject({
    type: z.literal("setReplicas"),
    replicas: z.array(replicaSchema).min(1).max(64),
});
export type Replica = z.infer<typeof replicaSchema>;

/** Changes nothing; a new leader commits what earlier terms left with it. */
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
    forgetUpstreamEndsCommand,
    setEvacuationCommand,
    noopCommand,
]);
export type Command = z.infer<typeof commandSchema>;
export type AllotCommand = z.infer<typeof allotCommand>;
export type CreditTopUpCommand = z.infer<typeof creditTopUpCommand>;
export type ReportSharesCommand = z.infer<typeof reportSharesCommand>;
export type ShareReport = ReportSharesCommand["shares"][number];
export type RegisterLedgerCommand = z.infer<typeof registerLedgerCommand>;

/** One entry of the replicated log. `at` is the leader's wall clock, for the audit trail only. */
export interface LogEntry {
    readonly index: number;
    readonly term: number;
    readonly at: number;
    readonly command: Command;
}
