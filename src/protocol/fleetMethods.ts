/** What routers and controllers say to each other where an operator declares bundles and upstreams register themselves. */
import * as z from "zod";
import { type PrepaidReportCommand, prepaidReportCommand } from "../domain/bundleCommands.js";
import type { PrepaidResult } from "../domain/prepaidBook.js";
import type { HeardRegistration, UpstreamRegistration } from "../domain/upstreamRegistry.js";
import { createPeerMethod } from "../ports/peer.js";
import type { EncodedBundle } from "./bundleTransfer.js";

const name = z.string().max(128);
const count = z.int().min(0);

const registrationSchema = z.object({
    id: z.string().min(1).max(128),
    service: name,
    address: name,
    zone: name,
    slots: count,
    state: z.enum(["ready", "leaving", "gone"]),
    sequence: count,
}) satisfies z.ZodType<UpstreamRegistration>;

const heardSchema = z.object({ registration: registrationSchema, ageMs: count }) satisfies z.ZodType<HeardRegistration>;

/** A controller's whole knowledge, for one that begins to follow it. */
export interface FollowAnswer {
    /** Revision of the bundle in force there, if there is one. */
    readonly bundleRevision?: number | undefined;
    readonly upstreams: readonly HeardRegistration[];
    /** Addresses of the controllers that the log names. */
    readonly controllers: readonly string[];
    /** Addresses of the routers that follow this controller. */
    readonly routers: readonly string[];
    /** Whether the controller is connected to a majority of the others. */
    readonly hasMajority: boolean;
}

/** Begins to follow a controller over this connection, and repeats what it knows; also asked as a heartbeat. */
export const followMethod = createPeerMethod<{ address: string; }, FollowAnswer>(
    "fleet.follow",
    z.object({ address: name }),
);

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

/** A router's report of its prepaid tokens; any controller takes it to the log. */
export const reportPrepaidMethod = createPeerMethod<{ report: PrepaidReportCommand; }, PrepaidResult>(
    "fleet.reportPrepaid",
    z.object({ report: prepaidReportCommand }),
);

/** A request that a router has sent to a model engine. */
export interface SharedPlacement {
    readonly upstream: string;
    /** Prompt tokens that the engine probably has to read. */
    readonly newTokens: number;
    /** How long that takes beyond what is comfortable to streams beside, in milliseconds. */
    readonly beyondMs: number;
    /** The parts of its prompt, in order. */
    readonly parts: readonly string[];
}

const placementSchema = z.object({
    upstream: name,
    newTokens: count,
    beyondMs: count,
    parts: z.array(name).max(1_000),
}) satisfies z.ZodType<SharedPlacement>;

/** Tells another router what was sent to model engines. */
export const placementNoticeMethod = createPeerMethod<{ placements: readonly SharedPlacement[]; }, void>(
    "fleet.placementNotice",
    z.object({ placements: z.array(placementSchema).max(1_000) }),
);

/** One router asks another for prepaid tokens. Answers how many it gives away for good. */
export const lendPrepaidMethod = createPeerMethod<
    { account: string; tokens: number; rank: number; },
    { tokens: number; }
>(
    "fleet.lendPrepaid",
    z.object({ account: z.string().min(1).max(256), tokens: count, rank: count }),
);
