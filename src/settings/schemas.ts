/** The settings of each role. Schemas first; every type is inferred from its schema. All times in milliseconds. */
import * as z from "zod";
import { nameSchema } from "../domain/objects.js";

const address = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "must be an IP number and a port, such as 127.0.0.1:7100",
);
const ms = (least: number, most: number, otherwise: number): z.ZodDefault<z.ZodInt> =>
    z.int().min(least).max(most).default(otherwise);

const controllerEntry = z.strictObject({ name: nameSchema, zone: nameSchema, address });

const common = {
    /** Name of this process, unique in the fleet. */
    name: nameSchema,
    /** Availability zone of its box. */
    zone: nameSchema,
    /** Where other processes of the fleet reach it. */
    listen: address,
    /** The fleet's secret, or the file that holds it. Every process of a fleet has the same. */
    fleetSecret: z.string().min(16).max(512).optional(),
    fleetSecretFile: z.string().optional(),
    /** All controllers of the fleet, this one included where it is one. */
    controllers: z.array(controllerEntry).min(1).max(18),
    /** Other addresses under which this box reaches some processes. */
    addressMap: z.record(address, address).default({}),
    /** Where metrics go, such as 127.0.0.1:8125; absent for none. */
    statsd: address.optional(),
    logLevel: z.enum(["info", "warn", "error"]).default("info"),
};

export const controllerSettings = z.strictObject({
    ...common,
    role: z.literal("controller"),
    /** Folder on this box's disk. Everything that must survive lies here. */
    dataFolder: z.string().min(1),
    /** Where operators reach the resource API. */
    operatorListen: address,
    operators: z.array(z.strictObject({
        name: nameSchema,
        tokenHash: z.string().regex(/^sha256\$[0-9a-f]{32}\$[0-9a-f]{64}$/, "must come from `loomwinch hash-token`"),
    })).min(1).max(100),
    /** The platform's list of boxes; absent where there is none. */
    membershipUrl: z.url().optional(),
    electionTimeoutMs: ms(50, 60_000, 800),
    heartbeatMs: ms(10, 10_000, 150),
    proposeTimeoutMs: ms(100, 60_000, 4_000),
    snapshotEvery: z.int().min(10).max(1_000_000).default(5_000),
    /** How long a router may use a grant. A dead router's grant is held at least that long. */
    grantLifeMs: ms(500, 600_000, 8_000),
    /** Added to a grant's life by the ledger, for clocks that run at different speeds. */
    driftMarginMs: ms(10, 60_000, 1_000),
    /** How often shares are balanced and reported. */
    sharePeriodMs: ms(50, 60_000, 1_000),
    closePeriodMs: ms(50, 60_000, 1_000),
    /** After a lost disk, how long a not-repeatable request with a caller's key is refused. */
    resendWindowMs: ms(0, 86_400_000, 600_000),
    /** How old a doubtful bill must be before it is compared with the other ledgers'. At least the longest deadline. */
    billSettleMs: ms(0, 86_400_000, 180_000),
    /** How long a bill is kept at least to recognise copies. */
    billKeepMs: ms(1_000, 86_400_000, 3_600_000),
    compactBytes: z.int().min(10_000).max(1_000_000_000).default(32_000_000),
});

export const routerSettings = z.strictObject({
    ...common,
    role: z.literal("router"),
    /** Where callers and the balancer reach it. */
    callerListen: address,
    maxOpenRequests: z.int().min(1).max(100_000).default(4_000),
    /** Demand that a draw on a ledger covers ahead. */
    drawAheadMs: ms(0, 60_000, 1_000),
    /** How long a request waits for reservations about to settle before its budget counts as exhausted. */
    settleWaitMs: ms(0, 60_000, 500),
    lameDuckMs: ms(0, 60_000, 2_000),
    drainMs: ms(0, 3_600_000, 120_000),
    /** How long it waits for a configuration read through a majority before it serves with an unconfirmed one. */
    unconfirmedReadyMs: ms(0, 600_000, 5_000),
});

export const sidecarSettings = z.strictObject({
    ...common,
    role: z.literal("sidecar"),
    /** Name of its box, as the declared upstreams and the platform's list have it. */
    box: nameSchema,
    keepAnswersMs: ms(0, 3_600_000, 60_000),
    indexKeepMs: ms(1_000, 86_400_000, 600_000),
    drainMs: ms(0, 3_600_000, 120_000),
    unconfirmedReadyMs: ms(0, 600_000, 5_000),
});

export const standInEngineSettings = z.strictObject({
    role: z.literal("stand-in-engine"),
    name: nameSchema,
    listen: address,
    slots: z.int().min(1).max(4096).default(8),
    /** Time between two tokens of one stream, and for each 1000 prompt tokens that are not in the cache. */
    tokenMs: z.number().min(0).max(10_000).default(10),
    prefillMsPerThousand: z.number().min(0).max(60_000).default(50),
    cachedPrompts: z.int().min(0).max(1_000_000).default(256),
    /** How late load reports and cache events are, and the part of cache events that is lost. */
    reportLagMs: ms(0, 60_000, 500),
    eventLossPart: z.number().min(0).max(1).default(0.1),
    checksOrders: z.boolean().default(true),
    seed: z.int().default(1),
});

export const standInServiceSettings = z.strictObject({
    role: z.literal("stand-in-service"),
    name: nameSchema,
    listen: address,
    answerMs: z.number().min(0).max(60_000).default(2),
});

export const standInPlatformSettings = z.strictObject({
    role: z.literal("stand-in-platform"),
    listen: address,
    /** How late the list tells of changes. */
    lagMs: ms(0, 600_000, 1_000),
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

/** What the daemons of the fleet have in common. */
export type CommonSettings = ControllerSettings | RouterSettings | SidecarSettings;

/** The one-process demonstration: whole roles, and the objects to declare. */
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
