/** In-memory request index of a sidecar: which router claimed a request and which sidecar runs it. Not persisted. */
import type { ClaimAnswer } from "../protocol/runMethods.js";

/** Retained claims; the least recently updated are evicted. */
export const MAX_CLAIMS = 200_000;

interface Claim {
    readonly digest: string;
    owner: string;
    sidecar: string | undefined;
    updatedAt: number;
}

export class RequestIndex {
    private readonly claims = new Map<string, Claim>();

    /** `retentionMs`: time after its last update at which a claim expires. */
    constructor(private readonly retentionMs: number) {}

    getSize(): number {
        return this.claims.size;
    }

    /** Claims a request for `owner`, or reports the state of an existing claim by another owner. */
    claim(requestId: string, digest: string, owner: string, now: number): ClaimAnswer {
        this.evictClaims(now);
        const existing = this.claims.get(requestId);
        if (existing === undefined || existing.owner === owner) {
            this.setClaim(requestId, { digest, owner, sidecar: existing?.sidecar, updatedAt: now });
            return { type: "claimed" };
        }
        if (existing.sidecar === undefined) {
            return { type: "pending", digest: existing.digest };
        }
        return { type: "dispatched", digest: existing.digest, sidecar: existing.sidecar };
    }

    /** Records the sidecar that a request is dispatched to. */
    recordDispatch(requestId: string, digest: string, owner: string, sidecar: string, now: number): void {
        this.setClaim(requestId, { digest, owner, sidecar, updatedAt: now });
    }

    /** Releases a claim if `owner` still holds it. */
    releaseClaim(requestId: string, owner: string): void {
        if (this.claims.get(requestId)?.owner === owner) {
            this.claims.delete(requestId);
        }
    }

    /** Releases the undispatched claims of a disconnected router. None of these requests ran. */
    releaseUndispatchedClaims(ownerPrefix: string): void {
        for (const [requestId, claim] of this.claims) {
            if (claim.sidecar === undefined && claim.owner.startsWith(ownerPrefix)) {
                this.claims.delete(requestId);
            }
        }
    }

    private setClaim(requestId: string, claim: Claim): void {
        this.claims.delete(requestId);
        this.claims.set(requestId, claim);
    }

    private evictClaims(now: number): void {
        for (const [requestId, claim] of this.claims) {
            if (claim.updatedAt + this.retentionMs > now && this.claims.size <= MAX_CLAIMS) {
                return;
            }
            this.claims.delete(requestId);
        }
    }
}
