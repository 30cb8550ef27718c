/** RPC methods between routers and controllers in fleets with declared bundles and self-registering upstreams. */
import * as z from "zod";
import { MAX_NAME_LENGTH, nameSchema } from "../domain/bundle.js";
import { type PrepaidReportCommand, prepaidReportCommand } from "../domain/bundleCommands.js";
import type { RouterLoad } from "../domain/connectionRelayPolicy.js";
import { MAX_ZONE_LENGTH } from "../domain/evacuationCommands.js";
import type { EvacuationList } from "../domain/evacuationStore.js";
import type { PrepaidResult } from "../domain/prepaidLedger.js";
import { LOWEST_PRIORITY } from "../domain/priorityBacklog.js";
import type { RelayNotice } from "../domain/relayingRouters.js";
import { MAX_ATTRIBUTES } from "../domain/requestAttributes.js";
import type { RouterContact } from "../domain/routerGroups.js";
import type { ServiceVersionList } from "../domain/serviceVersionStore.js";
import type { ChangeCursor, UpstreamUpdate } from "../domain/upstreamChanges.js";
import {
    clearedAttributeSchema,
    fingerprintSchema,
    interruptedRequestSchema,
    lifeKeySchema,
    MAX_CLEARED_ATTRIBUTES,
    MAX_INTERRUPTED_REQUESTS,
    requestAttributeSchema,
} from "../domain/upstreamEndCommands.js";
import { type HeardRegistration, MAX_VERSION_LENGTH, type UpstreamRegistration } from "../domain/upstreamRegistry.js";
import { createPeerMethod } from "../ports/peer.js";
import type { EncodedBundle } from "./bundleTransfer.js";

const shortName = z.string().max(128);
const nonNegativeInt = z.int().min(0);
const softwareVersion = z.string().max(MAX_VERSION_LENGTH);

/** Maximum number of upstreams in one end report. */
export const MAX_REPORTED_ENDS = 64;

const registrationSchema = z.object({
    id: z.string().min(1).max(128),
    bornAt: nonNegativeInt.optional(),
    /** Empty if it is not known, which only ends of upstreams are. */
    service: z.string().max(MAX_NAME_LENGTH),
    address: shortName,
    zone: shortName,
    version: softwareVersion.optional(),
    slots: nonNegativeInt,
    state: z.enum(["ready", "leaving", "gone"]),
    sequence: nonNegativeInt,
    mayReturn: z.boolean().optional(),
    isReplaced: z.boolean().optional(),
    isLeavingSaid: z.boolean().optional(),
    coldLeftMs: nonNegativeInt.optional(),
}) satisfies z.ZodType<UpstreamRegistration>;

/** Maximum number of ends listed with a suspect. */
export const MAX_SUSPECT_ENDS = 8;
/** Not a prefix of any hash that is likely to occur. */
export const NO_FINGERPRINT = "0000000000000000";

const suspectListSchema = z.object({
    /** Log index of the latest change; a list with a higher index replaces this one. */
    index: nonNegativeInt,
    suspects: z.array(z.object({
        /** The content of the request; `NO_FINGERPRINT` if the suspect is something else. For routers of earlier versions. */
        fingerprint: fingerprintSchema,
        /** What the requests that ended upstreams have in common. Omitted by controllers of earlier versions. */
        attributes: z.array(requestAttributeSchema).min(1).max(MAX_ATTRIBUTES).optional(),
        /** Whether requests with all of the attributes end the upstreams that run them. */
        isCulprit: z.boolean(),
        /** The newest ends at which the attributes were present. Omitted by controllers of earlier versions. */
        ends: z.array(z.object({ index: nonNegativeInt, agoMs: nonNegativeInt })).max(MAX_SUSPECT_ENDS).optional(),
        /** Remaining time until the suspicion expires at the latest, in milliseconds. */
        leftMs: nonNegativeInt,
    })).max(20_000),
});
/** What the requests that were in progress when several upstreams ended have in common. */
export type SuspectList = z.infer<typeof suspectListSchema>;
export type SuspectEntry = SuspectList["suspects"][number];

const heardSchema = z.object({
    registration: registrationSchema,
    ageMs: nonNegativeInt,
    limit: z.object({ perSecond: z.number().min(0).optional(), ageMs: nonNegativeInt }).optional(),
}) satisfies z.ZodType<HeardRegistration>;

/** A controller's state as sent to a router that follows it. */
export interface FollowAnswer {
    /** Revision of the controller's current bundle, if there is one. */
    readonly bundleRevision?: number | undefined;
    /** All known upstreams, for routers of earlier versions, which do not request changes; empty otherwise. */
    readonly upstreams: readonly HeardRegistration[];
    /** Omitted if the router did not request it, and by controllers of earlier versions. */
    readonly news?: UpstreamUpdate | undefined;
    /** Addresses of the controllers recorded in the log. */
    readonly controllers: readonly string[];
    /** The routers that follow this controller; omitted if unchanged since they were last sent to this router. */
    readonly routers?: readonly RouterContact[] | undefined;
    /** Identifies the version of `routers`; omitted by controllers of earlier versions. */
    readonly routersCursor?: ChangeCursor | undefined;
    /** Whether the controller is connected to a majority of controllers. */
    readonly hasMajority: boolean;
    /** Omitted if it has not changed, and by controllers of earlier versions. */
    readonly suspects?: SuspectList | undefined;
    /** Omitted by controllers of earlier versions. */
    readonly evacuations?: EvacuationList | undefined;
    /** The services with several software versions. Omitted by controllers of earlier versions. */
    readonly serviceVersions?: ServiceVersionList | undefined;
}

const cursorSchema = z.object({ epoch: shortName, number: nonNegativeInt }) satisfies z.ZodType<ChangeCursor>;

const followSchema = z.object({
    /** Address of the following router for other routers. */
    address: shortName,
    /** Whether the response should include upstreams. */
    wantsUpstreams: z.boolean(),
    /** Last cursor received from this controller; omitted in the first call, and by routers of earlier versions. */
    since: cursorSchema.optional(),
    /** Last `routersCursor` from this controller; omitted in the first call, and by routers of earlier versions. */
    routersSince: cursorSchema.optional(),
    /** Index of the last list of suspects from this controller, which is not sent again; omitted if there is none. */
    suspectIndex: nonNegativeInt.optional(),
    /** Milliseconds without a report after which an upstream is unheard; omitted by routers of earlier versions. */
    unheardMs: nonNegativeInt.optional(),
});
export type FollowParams = z.infer<typeof followSchema>;

/** Starts to follow a controller over this connection and returns its state; repeated as a heartbeat. */
export const followMethod = createPeerMethod<FollowParams, FollowAnswer>("fleet.follow", followSchema);

/** Notifies a follower of a new current bundle, which the follower then fetches. */
export const bundleNoticeMethod = createPeerMethod<{ controller: string; revision: number; }, void>(
    "fleet.bundleNotice",
    z.object({ controller: shortName, revision: nonNegativeInt }),
);

/** Fetches the current bundle, as a delta from revision `held` if the controller still has that revision. */
export const getBundleMethod = createPeerMethod<
    { held?: number | undefined; },
    { bundle?: EncodedBundle | undefined; }
>("fleet.getBundle", z.object({ held: nonNegativeInt.optional() }));

/** Forwards reports of upstreams to a follower or to another controller. */
export const upstreamNoticeMethod = createPeerMethod<{ upstreams: readonly HeardRegistration[]; }, void>(
    "fleet.upstreamNotice",
    z.object({ upstreams: z.array(heardSchema).max(20_000) }),
);

/** Notifies a follower of a change to the list of suspect requests. */
export const suspectNoticeMethod = createPeerMethod<SuspectList, void>("fleet.suspectNotice", suspectListSchema);

/** Notifies a follower of a change to the list of zones whose upstreams get no new requests. */
export const evacuationNoticeMethod = createPeerMethod<EvacuationList, void>(
    "fleet.evacuationNotice",
    z.object({ index: nonNegativeInt, zones: z.array(z.string().min(1).max(MAX_ZONE_LENGTH)).max(1_000) }),
);

const endReportSchema = z.object({
    /** Upstreams that ended, each with this router's requests that were interrupted there. */
    ends: z.array(z.object({
        life: lifeKeySchema,
        /** Milliseconds from the first interrupted request to this report. */
        brokenAgoMs: nonNegativeInt,
        requests: z.array(interruptedRequestSchema).min(1).max(MAX_INTERRUPTED_REQUESTS),
    })).max(MAX_REPORTED_ENDS),
    /** Reported by routers of earlier versions: suspect requests that were answered completely. */
    cleared: z.array(fingerprintSchema).max(MAX_INTERRUPTED_REQUESTS),
    /** Suspect attributes of requests that survived. Omitted by routers of earlier versions. */
    clearedAttributes: z.array(clearedAttributeSchema).max(MAX_CLEARED_ATTRIBUTES).optional(),
});
export type EndReport = z.infer<typeof endReportSchema>;
export type ReportedEnd = EndReport["ends"][number];

/** Reports ended upstreams to any controller, which appends the report to the log. Returns once a majority has it. */
export const reportEndsMethod = createPeerMethod<{ report: EndReport; }, { index: number; }>(
    "fleet.reportEnds",
    z.object({ report: endReportSchema }),
);

/** Reports a router's prepaid tokens to any controller, which appends the report to the log. */
export const reportPrepaidMethod = createPeerMethod<{ report: PrepaidReportCommand; }, PrepaidResult>(
    "fleet.reportPrepaid",
    z.object({ report: prepaidReportCommand }),
);

/** A request that a router has sent to a model engine, as shared with other routers. */
export interface SharedPlacement {
    /** Address of the router that sent it. */
    readonly router: string;
    readonly upstream: string;
    /** Identifies the upstream's incarnation; undefined if the upstream does not report it. */
    readonly bornAt?: number | undefined;
    /** Estimated prompt tokens that are not in the engine's prefix cache. */
    readonly newTokens: number;
    /** Estimated prefill time in excess of what concurrent streams tolerate, in milliseconds. */
    readonly beyondMs: number;
    /** Ids of the parts of the prompt, in order, or of the first ones. */
    readonly parts: readonly string[];
    /** Expected output; omitted by routers without a model of the upstreams. */
    readonly outputTokens?: number | undefined;
    /** Priority at the upstream, from 0, the most urgent, to 9; omitted like `outputTokens`. */
    readonly priority?: number | undefined;
}

/** Maximum number of placements in one notice. */
export const MAX_NOTICE_PLACEMENTS = 1_000;
/** Maximum number of prompt parts in one placement, and of characters in the id of one. */
export const MAX_PLACEMENT_PARTS = 1_000;
export const MAX_PART_ID_LENGTH = 128;

const placementSchema = z.object({
    router: shortName,
    upstream: shortName,
    bornAt: nonNegativeInt.optional(),
    newTokens: nonNegativeInt,
    beyondMs: nonNegativeInt,
    parts: z.array(z.string().max(MAX_PART_ID_LENGTH)).max(MAX_PLACEMENT_PARTS),
    outputTokens: nonNegativeInt.optional(),
    priority: z.int().min(0).max(LOWEST_PRIORITY).optional(),
}) satisfies z.ZodType<SharedPlacement>;

/**
 * To whom the receiver forwards placements. "all": the other routers of its group and the relays of the other groups;
 * "group": the other routers of its group; "none": nobody.
 */
const placementScope = z.enum(["all", "group", "none"]);
export type PlacementScope = z.infer<typeof placementScope>;

/** Placements that are propagated through the router groups. */
export interface PlacementNotice {
    readonly passTo: PlacementScope;
    readonly placements: readonly SharedPlacement[];
}

/** Shares placements with another router. */
export const placementNoticeMethod = createPeerMethod<PlacementNotice, void>(
    "fleet.placementNotice",
    z.object({ passTo: placementScope, placements: z.array(placementSchema).max(MAX_NOTICE_PLACEMENTS) }),
);

/**
 * Returns the unused rest of loans to the holder of the accounts. Sent at most once, because each copy would be credited;
 * tokens lost in transit stay spent.
 */
export const returnPrepaidMethod = createPeerMethod<
    { accounts: readonly { readonly account: string; readonly tokens: number; }[]; },
    void
>(
    "fleet.returnPrepaid",
    z.object({
        accounts: z.array(z.object({ account: nameSchema, tokens: nonNegativeInt })).max(20_000),
    }),
);

const loanSchema = z.object({
    account: nameSchema,
    tokens: nonNegativeInt,
    rank: nonNegativeInt,
    /** Whether the lender also holds the account for the asker, so that it reserves nothing for itself. */
    isHeldForAsker: z.boolean(),
    /** Whether no request waits for the loan; absent: a request waits. */
    isInAdvance: z.boolean().optional(),
});
/** A router's request to another for a loan. */
export type LoanRequest = z.infer<typeof loanSchema>;

/** A lender's answer. */
export interface LoanAnswer {
    /** Number of tokens transferred, which is final. */
    readonly tokens: number;
    /** Tokens of the lender's grant that are left for further loans; undefined if it does not lend in advance. */
    readonly left?: number | undefined;
}

/** Asks another router for prepaid tokens. */
export const lendPrepaidMethod = createPeerMethod<LoanRequest, LoanAnswer>("fleet.lendPrepaid", loanSchema);

const routerLoadSchema = z.object({
    address: shortName,
    relayAddress: z.string().max(128).regex(
        /^[^\s:]+:(?:[0-5]?\d{1,4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])$/,
        "HOST:PORT",
    ),
    revision: nonNegativeInt,
    utilization: z.number().min(0).max(1),
    cores: z.number().positive().max(1_024),
    isAccepting: z.boolean(),
    relayVersion: nonNegativeInt.optional(),
}) satisfies z.ZodType<RouterLoad>;

/** Notifies another router of the same zone of the sender's load. */
export const routerLoadNoticeMethod = createPeerMethod<RouterLoad, void>("fleet.routerLoadNotice", routerLoadSchema);

const relayNoticeSchema = z.object({
    instance: z.string().min(1).max(64),
    revision: nonNegativeInt.optional(),
    closesInMs: nonNegativeInt.optional(),
}) satisfies z.ZodType<RelayNotice>;

/** Announces the sender's configuration, and its stop, to a router that it relays connections to. */
export const relayNoticeMethod = createPeerMethod<RelayNotice, void>("fleet.relayNotice", relayNoticeSchema);
