/**
 * Challenge-response handshake of a connection: each side proves that it knows the fleet secret without sending it.
 * A proof includes the side that computed it, so that it cannot be reflected to its sender.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import * as z from "zod";
import { createPeerMethod, type PeerIdentity } from "../../ports/peer.js";

const identitySchema = z.object({
    name: z.string().max(128),
    role: z.enum(["router", "sidecar", "controller", "operator"]),
    zone: z.string().max(64),
    incarnation: z.string().max(64),
});
const nonceSchema = z.string().regex(/^[0-9a-f]{24}$/);

export interface HelloAnswer {
    readonly identity: PeerIdentity;
    readonly nonce: string;
    readonly proof: string;
}

/** The dialer's first call. */
export const helloMethod = createPeerMethod<{ identity: PeerIdentity; nonce: string; }, HelloAnswer>(
    "peer.hello",
    z.object({ identity: identitySchema, nonce: nonceSchema }),
);

/** The dialer's second call. */
export const proveMethod = createPeerMethod<{ proof: string; }, { ok: true; }>(
    "peer.prove",
    z.object({ proof: z.string().max(128) }),
);

export interface HandshakeNonces {
    readonly dialer: string;
    readonly acceptor: string;
}

/** Computes the proof of one side, an HMAC over both nonces and the identity of that side. */
export function computeProof(
    secret: string,
    side: "dialer" | "acceptor",
    nonces: HandshakeNonces,
    identity: PeerIdentity,
): string {
    const text = [
        side,
        nonces.dialer,
        nonces.acceptor,
        identity.name,
        identity.role,
        identity.zone,
        identity.incarnation,
    ];
    return createHmac("sha256", secret).update(text.join("\n")).digest("hex");
}

/** Compares proofs in constant time. */
export function areProofsEqual(a: string, b: string): boolean {
    const left = Buffer.from(a);
    const right = Buffer.from(b);
    return left.length === right.length && timingSafeEqual(left, right);
}
