/**
 * The command of the replicated log that takes the upstreams of an availability zone out of service and restores them.
 */
import * as z from "zod";

/** Maximum length of an availability zone's name, in characters. */
export const MAX_ZONE_LENGTH = 128;

/** Evacuates an availability zone, or ends its evacuation, on behalf of an operator. */
export const setEvacuationCommand = z.strictObject({
    type: z.literal("setEvacuation"),
    zone: z.string().min(1).max(MAX_ZONE_LENGTH),
    isEvacuated: z.boolean(),
    /**
     * Number of changes of the zone when the command was created; the command has no effect if the zone has changed
     * since.
     */
    expectedChanges: z.int().min(0),
});
export type SetEvacuationCommand = z.infer<typeof setEvacuationCommand>;
