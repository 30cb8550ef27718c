/** Settings of how the replica set follows the controllers that run. */
import * as z from "zod";

/** Section of a controller. Times in milliseconds. */
export const replicaSetSchema = z.strictObject({
    /** Number of controllers, with their disks, that may be lost at the same time. */
    toleratedLosses: z.int().min(0).max(31),
    /**
     * Time without an answer after which a replica counts as lost: its vote is withdrawn if the others then bear more losses. At
     * least two election timeouts.
     */
    silentAfterMs: z.int().min(1).max(600_000),
    /** Time without an answer after which a replica is removed, and has to ask to be added again. */
    removeAfterMs: z.int().min(1).max(3_600_000),
}).refine(({ silentAfterMs, removeAfterMs }) => removeAfterMs >= silentAfterMs, {
    path: ["removeAfterMs"],
    message: "must not be less than silentAfterMs",
});
export type ReplicaSetOptions = z.infer<typeof replicaSetSchema>;
