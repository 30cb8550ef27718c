/** The declared objects: what operators want. Schemas first; every type is inferred from its schema. */
import * as z from "zod";

/** Largest token count taken anywhere, so that sums stay exact in a double. */
export const MAX_TOKENS = 1_000_000_000_000;

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "must be 1 to 63 of a-z, 0-9, dot and dash");
const tokens = z.int().min(0).max(MAX_TOKENS);
const positiveTokens = z.int().min(1).max(MAX_TOKENS);
const address = z.string().regex(
    /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7100",
);

/** A client account. `keyHashes` hold salted hashes of bearer keys; the keys themselves are stored nowhere. */
export const clientAccountSpec = z.strictObject({
    displayName: z.string().max(200).optional(),
    keyHashes: z.array(z.string().regex(/^sha256\$[0-9a-f]{32}\$[0-9a-f]{64}$/)).max(16),
    suspended: z.boolean().default(false),
});

/** A prepaid budget of one client account. Its tokens come from top-ups, never from the spec. */
export const budgetSpec = z.strictObject({
    account: name,
    /** Services that may draw on it; absent means all. */
    services: z.array(name).max(100).optional(),
    /** How many copies a top-up needs before it is spendable: a majority of disks, or one disk and one witness in its zone. */
    topUpCopies: z.enum(["majority", "zoneWitness"]).default("majority"),
    /** The allocation policy that shares it out among ledgers. */
    policy: z.enum(["equalSplit", "followDemand"]).default("followDemand"),
});

/** A service: a pool of model engines, or a plain HTTP service. */
export const serviceSpec = z.strictObject({
    type: z.enum(["model", "plain"]),
    /** Output cap when a request names none, in tokens. */
    defaultOutputTokens: positiveTokens.default(1024),
    /** Largest output cap a request may name, in tokens. */
    maxOutputTokens: positiveTokens.default(8192),
    /** Price of one plain call, in tokens. */
    tokensPerCall: tokens.default(1),
    /** Whether a request may run again when its first run is lost, unless the request says otherwise. */
    repeatable: z.boolean().default(true),
    /** Deadline of a request that names none, in milliseconds. */
    defaultDeadlineMs: z.int().min(100).max(3_600_000).default(120_000),
});

/** An upstream: one engine or plain service instance behind the sidecar of its box. */
export const upstreamSpec = z.strictObject({
    service: name,
    box: name,
    zone: name,
    /** Address of the sidecar's peer listener. */
    sidecar: address,
    /** Base URL of the upstream as its sidecar reaches it. */
    url: z.url(),
    /** How many runs it takes at once. */
    slots: z.int().min(1).max(4096).default(8),
    /** Wanted state: a leaving upstream gets no new work. */
    leaving: z.boolean().default(false),
    /** Adapter or model version it should hold; carried to the engine as a fenced order. */
    model: z.string().max(200).optional(),
});

/** A rule that ranks requests of a service. The first matching rule in order of name wins. */
export const rankRuleSpec = z.strictObject({
    service: name,
    /** Lower goes first. */
    rank: z.int().min(0).max(9),
    minOutputTokens: tokens.optional(),
    maxOutputTokens: tokens.optional(),
    minPromptTokens: tokens.optional(),
    maxPromptTokens: tokens.optional(),
    /** Fraction of each upstream's slots that this rule's requests always find. */
    keptShare: z.number().min(0).max(0.9).default(0),
    /** Milliseconds of waiting that lift a request by one rank. */
    ageingMs: z.int().min(100).max(3_600_000).default(5_000),
});

/** An availability zone, by its name, whose upstreams get no new work for as long as this is declared. */
export const evacuationSpec = z.strictObject({
    reason: z.string().max(200).optional(),
});

/** Every kind of declared object with the schema of its spec. */
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

/** The spec type of each kind. */
export interface SpecByKind {
    clientAccount: ClientAccountSpec;
    budget: BudgetSpec;
    service: ServiceSpec;
    upstream: UpstreamSpec;
    rankRule: RankRuleSpec;
    evacuation: EvacuationSpec;
}

/** A declared object as stored and spread. `revision` is the log index of its last change. */
export interface DeclaredObject<K extends Kind = Kind> {
    readonly kind: K;
    readonly name: string;
    readonly spec: SpecByKind[K];
    readonly revision: number;
}

/** One change on its way to daemons: an object, or the mark that it is gone. */
export type ObjectChange = DeclaredObject | {
    readonly kind: Kind;
    readonly name: string;
    readonly revision: number;
    readonly deleted: true;
};

/** Whether a change removes its object. */
export function isDeletion(change: ObjectChange): change is Extract<ObjectChange, { deleted: true; }> {
    return "deleted" in change;
}

/** An operator's change of one object. `expected` is the revision it was read at; 0 means it must not exist. */
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

/** A top-up as an operator asks for it. Its home is the ledger that alone accepts it. */
export const topUpRequest = z.strictObject({
    operationId: z.string().min(1).max(128),
    operator: z.string().max(128),
    budget: name,
    tokens: positiveTokens,
    /** Name of the controller whose ledger is the top-up's home. */
    home: name,
});
export type TopUpRequest = z.infer<typeof topUpRequest>;
