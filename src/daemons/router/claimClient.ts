/**
 * Client of the request index. The claim on a request with an idempotency key is replicated to two sidecars, selected by
 * rendezvous hashing, and the first replica that can be reached decides.
 */
import type { ConfigView } from "../../domain/configView.js";
import { chooseByRendezvous } from "../../domain/identifiers.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { type ClaimAnswer, claimMethod, placeMethod, unclaimMethod } from "../../protocol/runMethods.js";

const REPLICA_COUNT = 2;
const CALL_TIMEOUT_MS = 400;
const PENDING_POLL_INTERVAL_MS = 40;

/** Identifies a claim: the request, the digest of its body, and the attempt of one router that owns the claim. */
export interface ClaimKey {
    readonly requestId: string;
    readonly digest: string;
    readonly owner: string;
}

/** `uncertain`: a replica could not be reached, so the request may already be running elsewhere. */
export type ClaimResult =
    | { readonly type: "claimed"; readonly uncertain: boolean; }
    | { readonly type: "dispatched"; readonly sidecar: string; };

export class ClaimClient {
    constructor(
        private readonly view: ConfigView,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
    ) {}

    /**
     * Claims a request, or returns where it runs. While another router holds the claim and has not dispatched the request,
     * polls until it has, releases the claim, or `deadline` (monotonic clock) passes.
     */
    async claim(key: ClaimKey, deadline: number): Promise<ClaimResult> {
        for (;;) {
            const result = await this.tryClaim(key);
            if (result !== "pending") {
                return result;
            }
            if (this.clock.getMonotonicMs() + PENDING_POLL_INTERVAL_MS > deadline) {
                throw new RefusalError(
                    createRefusal("outcomeUnknown", "another router has claimed the request", "unknown", 1000),
                );
            }
            await this.clock.wait(PENDING_POLL_INTERVAL_MS);
        }
    }

    /** Records at both replicas where the request is about to be dispatched. */
    async recordDispatch(key: ClaimKey, sidecar: string): Promise<void> {
        const calls = this.getReplicas(key.requestId).map(replica =>
            this.network.call(replica, placeMethod, { ...key, sidecar }, CALL_TIMEOUT_MS)
        );
        await Promise.allSettled(calls);
    }

    /** Releases the claim of a request that did not run. */
    async releaseClaim(key: ClaimKey): Promise<void> {
        const calls = this.getReplicas(key.requestId).map(replica =>
            this.network.call(replica, unclaimMethod, key, CALL_TIMEOUT_MS)
        );
        await Promise.allSettled(calls);
    }

    private getReplicas(requestId: string): string[] {
        return chooseByRendezvous(requestId, this.view.getSidecars(), REPLICA_COUNT);
    }

    private async tryClaim(key: ClaimKey): Promise<ClaimResult | "pending"> {
        let reachedCount = 0;
        let pending = false;
        const replicas = this.getReplicas(key.requestId);
        for (const replica of replicas) {
            let answer: ClaimAnswer;
            try {
                answer = await this.network.call(replica, claimMethod, key, CALL_TIMEOUT_MS);
            }
            catch {
                continue;
            }
            reachedCount += 1;
            checkDigest(answer, key.digest);
            if (answer.type === "dispatched") {
                return { type: "dispatched", sidecar: answer.sidecar };
            }
            if (answer.type === "pending") {
                pending = true;
                break;
            }
        }
        return pending ? "pending" : { type: "claimed", uncertain: reachedCount < replicas.length };
    }
}

function checkDigest(answer: ClaimAnswer, digest: string): void {
    if (answer.type !== "claimed" && answer.digest !== digest) {
        throw new RefusalError(createRefusal("requestIdReused"));
    }
}
