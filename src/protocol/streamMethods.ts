/** RPC methods about the software versions of services and the streams that they began. */
import * as z from "zod";
import { MAX_NAME_LENGTH } from "../domain/bundle.js";
import { MAX_SERVICE_VERSIONS, type ServiceVersionList } from "../domain/serviceVersionStore.js";
import { type KnownOrigin, type OriginReport, originReportSchema, streamKeySchema } from "../domain/streamOrigins.js";
import { MAX_VERSION_LENGTH } from "../domain/upstreamRegistry.js";
import { createPeerMethod } from "../ports/peer.js";

const serviceName = z.string().max(MAX_NAME_LENGTH);

/** Maximum number of streams in one notice. */
export const MAX_NOTICE_ORIGINS = 1_000;

/** Reports streams that a router began to a controller. */
export const originNoticeMethod = createPeerMethod<{ streams: readonly OriginReport[]; }, void>(
    "fleet.streamOrigins",
    z.object({ streams: z.array(originReportSchema).max(MAX_NOTICE_ORIGINS) }),
);

/** Asks a controller for the origin of a stream; undefined if the controller does not know it. */
export const findOriginMethod = createPeerMethod<{ key: string; }, { origin?: KnownOrigin | undefined; }>(
    "fleet.findStreamOrigin",
    z.object({ key: streamKeySchema }),
);

/** Reads the software versions of a service, confirmed by a majority. Fails with noMajority. */
export const readVersionsMethod = createPeerMethod<{ service: string; }, { versions: readonly string[]; }>(
    "fleet.readServiceVersions",
    z.object({ service: serviceName }),
);

export const serviceVersionListSchema = z.object({
    index: z.int().min(0),
    services: z.array(z.object({
        service: serviceName,
        versions: z.array(z.string().max(MAX_VERSION_LENGTH)).max(MAX_SERVICE_VERSIONS),
    })).max(5_000),
}) satisfies z.ZodType<ServiceVersionList>;

/** Notifies a follower of a change to the services with several software versions. */
export const versionNoticeMethod = createPeerMethod<ServiceVersionList, void>(
    "fleet.serviceVersions",
    serviceVersionListSchema,
);
