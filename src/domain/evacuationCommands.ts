/** The command of the replicated log that takes an availability zone's upstreams out of service and puts them back. */
import * as z from "zod";

/** Longest name of an availability zone, in characters: as upstreams give it. */
export const MAX_ZONE_LENGTH = 128;

/** An operator evacuates an availability zone, or takes that back. */
export const setEvacuationCommand = z.strictObject({
    type: z.literal("setEvacuation"),
    zone: z.string().min(1).max(MAX_ZONE_LENGTH),
    isEvacuated: z.boolean(),
    /** How often the zone had changed when the order was taken; an order that another one has overtaken changes nothing. */
    expectedChanges: z.int().min(0),
});
export type SetEvacuationCommand = z.infer<typeof setEvacuationCommand>;
