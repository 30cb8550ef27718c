/**
 * A router's side of the request index. A request with a key of its caller's has two copies of its claim, at the two
 * sidecars that win it by rendezvous hashing; the first that can be reached decides.
 */
import type { ConfigView } from "../../domain/configView.js";
import { chooseByRendezvous } from "../../domain/identifiers.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { type ClaimAnswer, claimMethod, placeMethod, unclaimMethod } from "../../protocol/runMethods.js";

const COPIES = 2;
const CALL_TIMEOUT_MS = 400;
const PENDING_TURN_MS = 40;

/** Whose claim it is, and on what. */
export interface ClaimKey {
    readonly requestId: string;
    readonly digest: string;
    readonly owner: string;
}

/** Where a request stands. `uncertain`: some copy could not be asked, so it may be running unknown to this router. */
export type Standing =
    | { readonly type: "claimed"; readonly uncertain: boolean; }
    | { readonly type: "dispatched"; readonly sidecar: string; };

export class ClaimClient {
    constructor(
        private readonly view: ConfigView,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
    ) {}

    /**
     * Claims a request, or learns where it runs. While another router holds the claim without having placed it, waits
     * until it has, or gives it up, or `deadline` (monotonic clock) passes.
     */
    async claim(key: ClaimKey, deadline: number): Promise<Standing> {
        for (;;) {
            const standing = await this.claimOnce(key);
            if (standing !== "pending") {
                return standing;
            }
            if (this.clock.getMonotonicMs() + PENDING_TURN_MS > deadline) {
                throw new RefusalError(
                    createRefusal("outcomeUnknown", "another router is about to run it", "unknown", 1000),
                );
            }
            await this.clock.wait(PENDING_TURN_MS);
        }
    }

    /** Says at both copies where the request is about to run. */
    async place(key: ClaimKey, sidecar: string): Promise<void> {
        const placed = this.getCopies(key.requestId).map(copy =>
            this.network.call(copy, placeMethod, { ...key, sidecar }, CALL_TIMEOUT_MS)
        );
        await Promise.allSettled(placed);
    }

    /** Gives the claim up: nothing ran under it. */
    async unclaim(key: ClaimKey): Promise<void> {
        const given = this.getCopies(key.requestId).map(copy =>
            this.network.call(copy, unclaimMethod, key, CALL_TIMEOUT_MS)
        );
        await Promise.allSettled(given);
    }

    private getCopies(requestId: string): string[] {
        return chooseByRendezvous(requestId, this.view.getSidecars(), COPIES);
    }

    private async claimOnce(key: ClaimKey): Promise<Standing | "pending"> {
        let reached = 0;
        let pending = false;
        const copies = this.getCopies(key.requestId);
        for (const copy of copies) {
            let answer: ClaimAnswer;
            try {
                answer = await this.network.call(copy, claimMethod, key, CALL_TIMEOUT_MS);
            }
            catch {
                continue;
            }
            reached += 1;
            checkDigest(answer, key.digest);
            if (answer.type === "dispatched") {
                return { type: "dispatched", sidecar: answer.sidecar };
            }
            if (answer.type === "pending") {
                pending = true;
                break;
            }
        }
        return pending ? "pending" : { type: "claimed", uncertain: reached < copies.length };
    }
}

function checkDigest(answer: ClaimAnswer, digest: string): void {
    if (answer.type !== "claimed" && answer.digest !== digest) {
        throw new RefusalError(createRefusal("requestIdReused"));
    }
}
