/** What routers and controllers say to each other where an operator declares bundles and upstreams register themselves. */
import * as z from "zod";
import { type PrepaidReportCommand, prepaidReportCommand } from "../domain/bundleCommands.js";
import { MAX_ZONE_LENGTH } from "../domain/evacuationCommands.js";
import type { EvacuationList } from "../domain/evacuationStore.js";
import type { PrepaidResult } from "../domain/prepaidLedger.js";
import type { RouterContact } from "../domain/routerGroups.js";
import type { ChangeCursor, UpstreamUpdate } from "../domain/upstreamChanges.js";
import {
    fingerprintSchema,
    interruptedRequestSchema,
    lifeKeySchema,
    MAX_INTERRUPTED_REQUESTS,
} from "../domain/upstreamEndCommands.js";
import type { HeardRegistration, UpstreamRegistration } from "../domain/upstreamRegistry.js";
import { createPeerMethod } from "../ports/peer.js";
import type { EncodedBundle } from "./bundleTransfer.js";

const name = z.string().max(128);
const count = z.int().min(0);

/** Most upstreams that one report says have ended. */
export const MOST_REPORTED_ENDS = 64;

const registrationSchema = z.object({
    id: z.string().min(1).max(128),
    bornAt: count.optional(),
    service: name,
    address: name,
    zone: name,
    slots: count,
    state: z.enum(["ready", "leaving", "gone"]),
    sequence: count,
    mayReturn: z.boolean().optional(),
    isReplaced: z.boolean().optional(),
    isLeavingSaid: z.boolean().optional(),
    coldLeftMs: count.optional(),
}) satisfies z.ZodType<UpstreamRegistration>;

const suspectListSchema = z.object({
    /** Of the log, at the newest change of what is known; a list with a higher one replaces this one. */
    index: count,
    suspects: z.array(z.object({
        fingerprint: fingerprintSchema,
        /** It ends what runs it. */
        isCulprit: z.boolean(),
        /** How long it is held against it at the most, in milliseconds. */
        leftMs: count,
    })).max(20_000),
});
/** The requests that were there when several upstreams ended. */
export type SuspectList = z.infer<typeof suspectListSchema>;
export type ToldSuspect = SuspectList["suspects"][number];

const heardSchema = z.object({
    registration: registrationSchema,
    ageMs: count,
    limit: z.object({ perSecond: z.number().min(0).optional(), ageMs: count }).optional(),
}) satisfies z.ZodType<HeardRegistration>;

/** What a controller knows, for a router that follows it. */
export interface FollowAnswer {
    /** Revision of the bundle in force there, if there is one. */
    readonly bundleRevision?: number | undefined;
    /** All that are known, for routers of versions before, which ask for no news; empty otherwise. */
    readonly upstreams: readonly HeardRegistration[];
    /** Left out where the router did not want any, and by controllers of versions before. */
    readonly news?: UpstreamUpdate | undefined;
    /** Addresses of the controllers that the log names. */
    readonly controllers: readonly string[];
    /** The routers that follow this controller; left out where they are the same as when the router was last told. */
    readonly routers?: readonly RouterContact[] | undefined;
    /** Names that list; left out by controllers of versions before. */
    readonly routersCursor?: ChangeCursor | undefined;
    /** Whether the controller is connected to a majority of the others. */
    readonly hasMajority: boolean;
    /** Left out by controllers of versions before. */
    readonly suspects?: SuspectList | undefined;
    /** Left out by controllers of versions before. */
    readonly evacuations?: EvacuationList | undefined;
}

const cursorSchema = z.object({ epoch: name, number: count }) satisfies z.ZodType<ChangeCursor>;

const followSchema = z.object({
    /** Where other routers reach the one that follows. */
    address: name,
    /** Whether the answer should tell of upstreams. */
    wantsUpstreams: z.boolean(),
    /** How far this controller has told; left out before its first word, and by routers of versions before. */
    since: cursorSchema.optional(),
    /** Which list of routers this controller has told; left out before its first word, and by routers of versions before. */
    routersSince: cursorSchema.optional(),
    /** Silence from which an upstream should be named as unheard, in milliseconds; left out by routers of versions before. */
    unheardMs: count.optional(),
});
export type FollowParams = z.infer<typeof followSchema>;

/** Begins to follow a controller over this connection, and repeats what it knows; also asked as a heartbeat. */
export const followMethod = createPeerMethod<FollowParams, FollowAnswer>("fleet.follow", followSchema);

/** Tells a follower that a bundle has come into force. The follower fetches it. */
export const bundleNoticeMethod = createPeerMethod<{ controller: string; revision: number; }, void>(
    "fleet.bundleNotice",
    z.object({ controller: name, revision: count }),
);

/** Fetches the bundle in force, as its change from the one of revision `held` where the controller remembers that. */
export const getBundleMethod = createPeerMethod<
    { held?: number | undefined; },
    { bundle?: EncodedBundle | undefined; }
>("fleet.getBundle", z.object({ held: count.optional() }));

/** Tells a follower, or another controller, what upstreams have reported. */
export const upstreamNoticeMethod = createPeerMethod<{ upstreams: readonly HeardRegistration[]; }, void>(
    "fleet.upstreamNotice",
    z.object({ upstreams: z.array(heardSchema).max(20_000) }),
);

/** Tells a follower which requests upstreams end under, as soon as that changes. */
export const suspectNoticeMethod = createPeerMethod<SuspectList, void>("fleet.suspectNotice", suspectListSchema);

/** Tells a follower from which zones the upstreams are to get no new work, as soon as that changes. */
export const evacuationNoticeMethod = createPeerMethod<EvacuationList, void>(
    "fleet.evacuationNotice",
    z.object({ index: count, zones: z.array(z.string().min(1).max(MAX_ZONE_LENGTH)).max(1_000) }),
);

const endReportSchema = z.object({
    /** Upstreams that ended, each with the requests of this router that broke off there. */
    ends: z.array(z.object({
        life: lifeKeySchema,
        /** How long before this report the first of them broke off, in milliseconds. */
        brokenAgoMs: count,
        requests: z.array(interruptedRequestSchema).min(1).max(MAX_INTERRUPTED_REQUESTS),
    })).max(MOST_REPORTED_ENDS),
    /** Requests under suspicion that were answered whole. */
    cleared: z.array(fingerprintSchema).max(MAX_INTERRUPTED_REQUESTS),
});
export type EndReport = z.infer<typeof endReportSchema>;
export type ReportedEnd = EndReport["ends"][number];

/** A router's report of upstreams that ended; any controller takes it to the log. Answers once a majority has it. */
export const reportEndsMethod = createPeerMethod<{ report: EndReport; }, { index: number; }>(
    "fleet.reportEnds",
    z.object({ report: endReportSchema }),
);

/** A router's report of its prepaid tokens; any controller takes it to the log. */
export const reportPrepaidMethod = createPeerMethod<{ report: PrepaidReportCommand; }, PrepaidResult>(
    "fleet.reportPrepaid",
    z.object({ report: prepaidReportCommand }),
);

/** A request that a router has sent to a model engine. */
export interface SharedPlacement {
    /** Address of the router that sent it. */
    readonly router: string;
    readonly upstream: string;
    /** Which life of it; undefined where that is not told. */
    readonly bornAt?: number | undefined;
    /** Prompt tokens that the engine probably has to read. */
    readonly newTokens: number;
    /** How long that takes beyond what is comfortable to streams beside, in milliseconds. */
    readonly beyondMs: number;
    /** The parts of its prompt, in order. */
    readonly parts: readonly string[];
}

/** Most placements in one notice. */
export const MAX_NOTICE_PLACEMENTS = 1_000;

const placementSchema = z.object({
    router: name,
    upstream: name,
    bornAt: count.optional(),
    newTokens: count,
    beyondMs: count,
    parts: z.array(name).max(1_000),
}) satisfies z.ZodType<SharedPlacement>;

/**
 * Whom the receiver of placements passes them on to: the other routers of its group and the relays of the other groups,
 * the other routers of its group alone, or nobody.
 */
const placementScope = z.enum(["all", "group", "none"]);
export type PlacementScope = z.infer<typeof placementScope>;

/** Placements on their way through the groups of routers. */
export interface PlacementNotice {
    readonly passTo: PlacementScope;
    readonly placements: readonly SharedPlacement[];
}

/** Tells another router what was sent to model engines. */
export const placementNoticeMethod = createPeerMethod<PlacementNotice, void>(
    "fleet.placementNotice",
    z.object({ passTo: placementScope, placements: z.array(placementSchema).max(MAX_NOTICE_PLACEMENTS) }),
);

/**
 * A router gives the holder of accounts what is left of loans; sent once and never again, since each copy would count. What
 * is lost on the way stays spent.
 */
export const returnPrepaidMethod = createPeerMethod<
    { accounts: readonly { readonly account: string; readonly tokens: number; }[]; },
    void
>(
    "fleet.returnPrepaid",
    z.object({ accounts: z.array(z.object({ account: z.string().min(1).max(256), tokens: count })).max(20_000) }),
);

const loanSchema = z.object({
    account: z.string().min(1).max(256),
    tokens: count,
    rank: count,
    /** The other holds the account for the asker too, so that it leaves nothing for itself alone. */
    isHeldForAsker: z.boolean(),
});
/** What one router asks another to lend. */
export type LoanRequest = z.infer<typeof loanSchema>;

/** One router asks another for prepaid tokens. Answers how many it gives away for good. */
export const lendPrepaidMethod = createPeerMethod<LoanRequest, { tokens: number; }>("fleet.lendPrepaid", loanSchema);
