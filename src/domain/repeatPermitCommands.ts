/** The commands of the replicated log that record which repeats leaders have permitted. */
import * as z from "zod";
import { nameSchema } from "./bundle.js";

/** Records permits before routers get them. */
export const reserveRepeatPermitsCommand = z.strictObject({
    type: z.literal("reserveRepeatPermits"),
    service: nameSchema,
    permits: z.int().min(1).max(100_000),
    /** Term of the leader that reserved the permits; without effect in a later term. */
    term: z.int().min(0),
});
export type ReserveRepeatPermitsCommand = z.infer<typeof reserveRepeatPermitsCommand>;

/** Removes the records up to a log index, whose permits are void and have left every window. */
export const releaseRepeatPermitsCommand = z.strictObject({
    type: z.literal("releaseRepeatPermits"),
    upTo: z.int().min(0),
});
export type ReleaseRepeatPermitsCommand = z.infer<typeof releaseRepeatPermitsCommand>;
