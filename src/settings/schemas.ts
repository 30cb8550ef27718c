/** Schemas of the settings of each role. All times are in milliseconds. */
import * as z from "zod";
import { nameSchema } from "../domain/objects.js";

const addressSchema = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7100",
);
const createMsSchema = (min: number, max: number, defaultMs: number): z.ZodDefault<z.ZodInt> =>
    z.int().min(min).max(max).default(defaultMs);

const controllerAddressSchema = z.strictObject({ name: nameSchema, zone: nameSchema, address: addressSchema });

const commonFields = {
    /** Name of the process, unique in the fleet. */
    name: nameSchema,
    /** Availability zone of its box. */
    zone: nameSchema,
    /** Address on which other processes of the fleet connect. */
    listen: addressSchema,
    /** Secret shared by all processes of the fleet, or the file that contains it. */
    fleetSecret: z.string().min(16).max(512).optional(),
    fleetSecretFile: z.string().optional(),
    /** All controllers of the fleet, including this process if it is one. */
    controllers: z.array(controllerAddressSchema).min(1).max(18),
    /** Address translation: peer address to the address that this box has to use for it. */
    addressMap: z.record(addressSchema, addressSchema).default({}),
    /** Address of the StatsD server, such as 127.0.0.1:8125; metrics are disabled if absent. */
    statsd: addressSchema.optional(),
    logLevel: z.enum(["info", "warn", "error"]).default("info"),
};

export const controllerSettings = z.strictObject({
    ...commonFields,
    role: z.literal("controller"),
    /** Folder on the local disk for all persistent data. */
    dataFolder: z.string().min(1),
    /** Listen address of the operator API. */
    operatorListen: addressSchema,
    operators: z.array(z.strictObject({
        name: nameSchema,
        tokenHash: z.string().regex(/^sha256\$[0-9a-f]{32}\$[0-9a-f]{64}$/, "must come from `loomwinch hash-token`"),
    })).min(1).max(100),
    /** URL of the platform's list of boxes, if there is one. */
    membershipUrl: z.url().optional(),
    electionTimeoutMs: createMsSchema(50, 60_000, 800),
    heartbeatMs: createMsSchema(10, 10_000, 150),
    proposeTimeoutMs: createMsSchema(100, 60_000, 4_000),
    snapshotEvery: z.int().min(10).max(1_000_000).default(5_000),
    /** Lifetime of a grant. Tokens granted to a crashed router stay reserved at least this long. */
    grantLifeMs: createMsSchema(500, 600_000, 8_000),
    /** Added by the ledger to the lifetime of a grant to tolerate clock drift. */
    driftMarginMs: createMsSchema(10, 60_000, 1_000),
    /** Period of rebalancing and reporting shares. */
    sharePeriodMs: createMsSchema(50, 60_000, 1_000),
    closePeriodMs: createMsSchema(50, 60_000, 1_000),
    /** Time after a disk loss during which non-repeatable requests with an idempotency key are refused. */
    resendWindowMs: createMsSchema(0, 86_400_000, 600_000),
    /** Age at which an uncertain bill is compared with those of other ledgers. At least the longest deadline. */
    billSettleMs: createMsSchema(0, 86_400_000, 180_000),
    /** Minimum retention of bills for deduplication. */
    billKeepMs: createMsSchema(1_000, 86_400_000, 3_600_000),
    compactBytes: z.int().min(10_000).max(1_000_000_000).default(32_000_000),
});

export const routerSettings = z.strictObject({
    ...commonFields,
    role: z.literal("router"),
    /** Listen address for callers and the load balancer. */
    callerListen: addressSchema,
    maxOpenRequests: z.int().min(1).max(100_000).default(4_000),
    /** Span of expected demand covered by each draw on a ledger. */
    drawAheadMs: createMsSchema(0, 60_000, 1_000),
    /** How long a request waits for pending reservations to settle before its budget counts as exhausted. */
    settleWaitMs: createMsSchema(0, 60_000, 500),
    lameDuckMs: createMsSchema(0, 60_000, 2_000),
    drainMs: createMsSchema(0, 3_600_000, 120_000),
    /** How long to wait for a configuration confirmed by a majority before serving with an unconfirmed one. */
    unconfirmedReadyMs: createMsSchema(0, 600_000, 5_000),
});

export const sidecarSettings = z.strictObject({
    ...commonFields,
    role: z.literal("sidecar"),
    /** Name of the box, as in the declared upstreams and the platform's list. */
    box: nameSchema,
    keepAnswersMs: createMsSchema(0, 3_600_000, 60_000),
    indexKeepMs: createMsSchema(1_000, 86_400_000, 600_000),
    drainMs: createMsSchema(0, 3_600_000, 120_000),
    unconfirmedReadyMs: createMsSchema(0, 600_000, 5_000),
});

export const standInEngineSettings = z.strictObject({
    role: z.literal("stand-in-engine"),
    name: nameSchema,
    listen: addressSchema,
    slots: z.int().min(1).max(4096).default(8),
    /** Time between two tokens of a stream. */
    tokenMs: z.number().min(0).max(10_000).default(10),
    /** Prefill time for each 1000 uncached prompt tokens. */
    prefillMsPerThousand: z.number().min(0).max(60_000).default(50),
    cachedPrompts: z.int().min(0).max(1_000_000).default(256),
    /** Delay of load reports and cache events. */
    reportLagMs: createMsSchema(0, 60_000, 500),
    /** Fraction of cache events that are dropped. */
    eventLossPart: z.number().min(0).max(1).default(0.1),
    checksOrders: z.boolean().default(true),
    seed: z.int().default(1),
});

export const standInServiceSettings = z.strictObject({
    role: z.literal("stand-in-service"),
    name: nameSchema,
    listen: addressSchema,
    answerMs: z.number().min(0).max(60_000).default(2),
});

export const standInPlatformSettings = z.strictObject({
    role: z.literal("stand-in-platform"),
    listen: addressSchema,
    /** Delay until changes appear in the list. */
    lagMs: createMsSchema(0, 600_000, 1_000),
    boxes: z.array(nameSchema).default([]),
});

export const roleSettings = {
    "controller": controllerSettings,
    "router": routerSettings,
    "sidecar": sidecarSettings,
    "stand-in-engine": standInEngineSettings,
    "stand-in-service": standInServiceSettings,
    "stand-in-platform": standInPlatformSettings,
} as const;
export type Role = keyof typeof roleSettings;

export type ControllerSettings = z.infer<typeof controllerSettings>;
export type RouterSettings = z.infer<typeof routerSettings>;
export type SidecarSettings = z.infer<typeof sidecarSettings>;
export type StandInEngineSettings = z.infer<typeof standInEngineSettings>;
export type StandInServiceSettings = z.infer<typeof standInServiceSettings>;
export type StandInPlatformSettings = z.infer<typeof standInPlatformSettings>;
export type RoleSettings =
    | ControllerSettings
    | RouterSettings
    | SidecarSettings
    | StandInEngineSettings
    | StandInServiceSettings
    | StandInPlatformSettings;

/** Settings of any daemon of the fleet; stand-ins are not included. */
export type CommonSettings = ControllerSettings | RouterSettings | SidecarSettings;

/** Settings of `loomwinch quickstart`: overrides for each role and the objects to declare. */
export const quickstartSettings = z.strictObject({
    dataFolder: z.string().min(1),
    controller: z.record(z.string(), z.unknown()),
    router: z.record(z.string(), z.unknown()),
    sidecar: z.record(z.string(), z.unknown()),
    engine: z.record(z.string(), z.unknown()),
    service: z.record(z.string(), z.unknown()),
    objects: z.array(z.strictObject({ kind: z.string(), name: z.string(), spec: z.record(z.string(), z.unknown()) })),
    topUp: z.strictObject({ budget: z.string(), tokens: z.int().min(1) }),
});
export type QuickstartSettings = z.infer<typeof quickstartSettings>;
