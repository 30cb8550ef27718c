/** Requests for streams, as a router has resolved them. */
import type { ResolvedRequest } from "../../src/daemons/directRouter/relayRequest.js";
import type { StreamOriginsOptions } from "../../src/domain/streamOrigins.js";
import type { UpstreamRegistration } from "../../src/domain/upstreamRegistry.js";

export const STREAM_ORIGINS: StreamOriginsOptions = {
    copies: 2,
    batchDelayMs: 1,
    lookupTimeoutMs: 100,
    minRetentionMs: 10_000,
    maxStreams: 100,
};

export function createStreamRequest(
    id: string,
    resumption: { readonly resumedAttempt?: string; readonly resumeAfter?: string; } = {},
    services: readonly string[] = ["s"],
): ResolvedRequest {
    const forwarded = { id, method: "POST", target: "/", headers: [], body: Buffer.alloc(0) };
    const targets = services.map(service => ({ service, weight: 1 }));
    return {
        request: { forwarded, arrivedAt: performance.now(), ...resumption },
        route: { name: "r", kind: "stream", isResumable: true, timeoutMs: 1_000, targets },
        service: { name: services[0] },
        account: { name: "acme" },
    } as unknown as ResolvedRequest;
}

export function createVersionedUpstream(id: string, version: string): UpstreamRegistration {
    return { id, service: "s", address: `${id}:1`, zone: "z", version, slots: 4, state: "ready", sequence: 1 };
}
