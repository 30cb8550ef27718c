/** RPC methods about repeats of requests beyond a router's own allowance. */
import * as z from "zod";
import { nameSchema } from "../domain/bundle.js";
import { MAX_PERMITS_PER_CLAIM, type PermitAnswer } from "../domain/repeatPermits.js";
import { createPeerMethod } from "../ports/peer.js";

const permitClaimSchema = z.object({
    service: nameSchema,
    count: z.int().min(1).max(MAX_PERMITS_PER_CLAIM),
    /** Whether a controller that does not lead has forwarded the claim, so that it is not forwarded again. */
    isForwarded: z.boolean(),
});
export type PermitClaim = z.infer<typeof permitClaimSchema>;

/** Asks for permits, at any controller. Fails with noMajority if no leader is known or it has lost its majority. */
export const claimPermitsMethod = createPeerMethod<PermitClaim, PermitAnswer>("fleet.claimPermits", permitClaimSchema);
