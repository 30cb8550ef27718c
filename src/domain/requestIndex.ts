/** The request index of one sidecar: which router has claimed a request, and at which sidecar it runs. Soft state. */
import type { ClaimAnswer } from "../protocol/runMethods.js";

/** Claims kept; the oldest go first. */
export const CLAIMS_KEPT = 200_000;

interface Claim {
    readonly digest: string;
    owner: string;
    sidecar: string | undefined;
    at: number;
}

export class RequestIndex {
    private readonly claims = new Map<string, Claim>();

    /** `keepMs`: how long a claim outlives its last change. */
    constructor(private readonly keepMs: number) {}

    getSize(): number {
        return this.claims.size;
    }

    /** Claims a request for `owner`, or tells where it stands. */
    claim(requestId: string, digest: string, owner: string, now: number): ClaimAnswer {
        this.removeOld(now);
        const known = this.claims.get(requestId);
        if (known === undefined || known.owner === owner) {
            this.put(requestId, { digest, owner, sidecar: known?.sidecar, at: now });
            return { type: "claimed" };
        }
        if (known.sidecar === undefined) {
            return { type: "pending", digest: known.digest };
        }
        return { type: "dispatched", digest: known.digest, sidecar: known.sidecar };
    }

    /** Notes where a request is about to run. */
    place(requestId: string, digest: string, owner: string, sidecar: string, now: number): void {
        this.put(requestId, { digest, owner, sidecar, at: now });
    }

    /** Gives a claim up. */
    unclaim(requestId: string, owner: string): void {
        if (this.claims.get(requestId)?.owner === owner) {
            this.claims.delete(requestId);
        }
    }

    /** Gives up the claims of a router that is gone and had not placed them yet: nothing of them ran. */
    unclaimUnplaced(ownerPrefix: string): void {
        for (const [requestId, claim] of this.claims) {
            if (claim.sidecar === undefined && claim.owner.startsWith(ownerPrefix)) {
                this.claims.delete(requestId);
            }
        }
    }

    private put(requestId: string, claim: Claim): void {
        this.claims.delete(requestId);
        this.claims.set(requestId, claim);
    }

    private removeOld(now: number): void {
        for (const [requestId, claim] of this.claims) {
            if (claim.at + this.keepMs > now && this.claims.size <= CLAIMS_KEPT) {
                return;
            }
            this.claims.delete(requestId);
        }
    }
}
