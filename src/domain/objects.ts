/** Schemas and types of the declared objects, which hold the configuration that operators want. */
import * as z from "zod";

/** Largest accepted token count. Sums of such counts remain exact in a double. */
export const MAX_TOKENS = 1_000_000_000_000;

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "must be 1 to 63 of a-z, 0-9, dot and dash");
const tokens = z.int().min(0).max(MAX_TOKENS);
const positiveTokens = z.int().min(1).max(MAX_TOKENS);
const address = z.string().regex(
    /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7100",
);

/** A client account. `keyHashes` contains salted hashes of its bearer keys; the keys themselves are not stored. */
export const clientAccountSpec = z.strictObject({
    displayName: z.string().max(200).optional(),
    keyHashes: z.array(z.string().regex(/^sha256\$[0-9a-f]{32}\$[0-9a-f]{64}$/)).max(16),
    suspended: z.boolean().default(false),
});

/** A prepaid budget of one client account. Its tokens come from top-ups, not from the spec. */
export const budgetSpec = z.strictObject({
    account: name,
    /** Services that may use the budget; all services if absent. */
    services: z.array(name).max(100).optional(),
    /** Copies required before a top-up is spendable: a majority of disks, or one disk and one witness in its zone. */
    topUpCopies: z.enum(["majority", "zoneWitness"]).default("majority"),
    /** Policy that allocates the budget's tokens among ledgers. */
    policy: z.enum(["equalSplit", "followDemand"]).default("followDemand"),
});

/** A pool of model engines, or a plain HTTP service. */
export const serviceSpec = z.strictObject({
    type: z.enum(["model", "plain"]),
    /** Output limit in tokens for requests that do not specify one. */
    defaultOutputTokens: positiveTokens.default(1024),
    /** Largest output limit in tokens that a request may specify. */
    maxOutputTokens: positiveTokens.default(8192),
    /** Price in tokens of one call of a plain service. */
    tokensPerCall: tokens.default(1),
    /** Whether a request may be retried after its run is lost; a request may override this. */
    repeatable: z.boolean().default(true),
    /** Deadline in milliseconds for requests that do not specify one. */
    defaultDeadlineMs: z.int().min(100).max(3_600_000).default(120_000),
});

/** One engine or plain service instance behind the sidecar of its box. */
export const upstreamSpec = z.strictObject({
    service: name,
    box: name,
    zone: name,
    /** Address of the sidecar's peer listener. */
    sidecar: address,
    /** Base URL at which the sidecar reaches the upstream. */
    url: z.url(),
    /** Maximum number of concurrent runs. */
    slots: z.int().min(1).max(4096).default(8),
    /** Whether the upstream is being drained and receives no new requests. */
    leaving: z.boolean().default(false),
    /** Adapter or model version that the engine should load; sent to it as a fenced order. */
    model: z.string().max(200).optional(),
});

/** A rule that assigns a priority rank to requests of a service. The first matching rule in order of name applies. */
export const rankRuleSpec = z.strictObject({
    service: name,
    /** Requests of a lower rank are dispatched first. */
    rank: z.int().min(0).max(9),
    minOutputTokens: tokens.optional(),
    maxOutputTokens: tokens.optional(),
    minPromptTokens: tokens.optional(),
    maxPromptTokens: tokens.optional(),
    /** Fraction of each upstream's slots reserved for requests that match this rule. */
    keptShare: z.number().min(0).max(0.9).default(0),
    /** Queueing time in milliseconds per promotion by one rank. */
    ageingMs: z.int().min(100).max(3_600_000).default(5_000),
});

/** Declares that upstreams in the availability zone of the same name receive no new requests. */
export const evacuationSpec = z.strictObject({
    reason: z.string().max(200).optional(),
});

/** Spec schemas by kind of declared object. */
export const specSchemas = {
    clientAccount: clientAccountSpec,
    budget: budgetSpec,
    service: serviceSpec,
    upstream: upstreamSpec,
    rankRule: rankRuleSpec,
    evacuation: evacuationSpec,
} as const;

export const kinds = ["clientAccount", "budget", "service", "upstream", "rankRule", "evacuation"] as const;
export type Kind = (typeof kinds)[number];
export const kindSchema = z.enum(kinds);
export const nameSchema = name;

export type ClientAccountSpec = z.infer<typeof clientAccountSpec>;
export type BudgetSpec = z.infer<typeof budgetSpec>;
export type ServiceSpec = z.infer<typeof serviceSpec>;
export type UpstreamSpec = z.infer<typeof upstreamSpec>;
export type RankRuleSpec = z.infer<typeof rankRuleSpec>;
export type EvacuationSpec = z.infer<typeof evacuationSpec>;

export interface SpecByKind {
    clientAccount: ClientAccountSpec;
    budget: BudgetSpec;
    service: ServiceSpec;
    upstream: UpstreamSpec;
    rankRule: RankRuleSpec;
    evacuation: EvacuationSpec;
}

/** A declared object as stored and distributed. `revision` is the log index of its last change. */
export interface DeclaredObject<K extends Kind = Kind> {
    readonly kind: K;
    readonly name: string;
    readonly spec: SpecByKind[K];
    readonly revision: number;
}

/** A change distributed to daemons: the new object, or a tombstone. */
export type ObjectChange = DeclaredObject | {
    readonly kind: Kind;
    readonly name: string;
    readonly revision: number;
    readonly deleted: true;
};

export function isDeletion(change: ObjectChange): change is Extract<ObjectChange, { deleted: true; }> {
    return "deleted" in change;
}

/** An operator's change of one object. `expected` is the required current revision; 0 requires that it does not exist. */
export const objectChangeRequest = z.discriminatedUnion("type", [
    z.strictObject({
        type: z.literal("putObject"),
        operationId: z.string().min(1).max(128),
        operator: z.string().max(128),
        kind: kindSchema,
        name,
        expected: z.int().min(0).optional(),
        spec: z.record(z.string(), z.unknown()),
    }),
    z.strictObject({
        type: z.literal("deleteObject"),
        operationId: z.string().min(1).max(128),
        operator: z.string().max(128),
        kind: kindSchema,
        name,
        expected: z.int().min(0).optional(),
    }),
]);
export type ObjectChangeRequest = z.infer<typeof objectChangeRequest>;

/** An operator's top-up request. Only its home ledger accepts it. */
export const topUpRequest = z.strictObject({
    operationId: z.string().min(1).max(128),
    operator: z.string().max(128),
    budget: name,
    tokens: positiveTokens,
    /** Name of the controller that runs the home ledger. */
    home: name,
});
export type TopUpRequest = z.infer<typeof topUpRequest>;
