/** The commands of the replicated log that record which software versions the upstreams of a service have. */
import * as z from "zod";
import { nameSchema } from "./bundle.js";
import { MAX_VERSION_LENGTH } from "./upstreamRegistry.js";

const serviceVersion = {
    service: nameSchema,
    /** Empty for upstreams that report no version. */
    version: z.string().max(MAX_VERSION_LENGTH),
};

/** Records a version before the first upstream that has it is used. */
export const addServiceVersionCommand = z.strictObject({ type: z.literal("addServiceVersion"), ...serviceVersion });
export type AddServiceVersionCommand = z.infer<typeof addServiceVersionCommand>;

/** Removes a version that no upstream has had for long. */
export const removeServiceVersionCommand = z.strictObject({
    type: z.literal("removeServiceVersion"),
    ...serviceVersion,
});
export type RemoveServiceVersionCommand = z.infer<typeof removeServiceVersionCommand>;
