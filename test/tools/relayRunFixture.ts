/** A router's context for single requests, with upstreams that a test plays. */
import { PendingSettlements } from "../../src/daemons/directRouter/pendingSettlements.js";
import type { RelayContext, RelayOptions } from "../../src/daemons/directRouter/relayContext.js";
import type { ResolvedRequest } from "../../src/daemons/directRouter/relayRequest.js";
import { DistributedRateLimiter } from "../../src/domain/distributedRateLimiter.js";
import { EvacuatedZones } from "../../src/domain/evacuatedZones.js";
import { UpstreamBackoffs } from "../../src/domain/upstreamBackoffs.js";
import { UpstreamCandidates } from "../../src/domain/upstreamCandidates.js";
import type { UpstreamLoad } from "../../src/domain/upstreamLoad.js";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";
import { NO_SIGNALS } from "../../src/domain/upstreamSignals.js";
import type { DirectUpstreams, UpstreamListener } from "../../src/ports/directUpstream.js";
import { NoLog } from "../../src/ports/log.js";

const SERVICE = { name: "s", maxConnections: 8, coldStartMs: 0 };
const UPSTREAMS = 10;

/** `overrides`: members in place of those of the fixture. */
export function createRunContext(upstreams: DirectUpstreams, repeats: object, overrides: object = {}): RelayContext {
    const registry = new UpstreamRegistry();
    for (let i = 0; i < UPSTREAMS; i++) {
        registry.record(createRegistration(`u${i}`), performance.now());
    }
    const createLimiter = () => new DistributedRateLimiter("r1", () => 0, 0);
    const load = {
        tryChoose: (candidates: readonly UpstreamRegistration[], _demand: unknown, terms: {
            excludedIds: ReadonlySet<string>;
        }) => {
            // Always the first, also one that is known to be replaced, so that only the exclusion keeps it from being repeated.
            const upstream = candidates.find(({ id }) => !terms.excludedIds.has(id));
            return upstream === undefined ? undefined : { upstream, uncachedTokens: 0, queuedPrefillMs: 0 };
        },
        recordStart: (placement: object) => placement,
        recordFirstByte: () => undefined,
        recordUnanswered: () => undefined,
        recordEnd: () => undefined,
        recordOutcome: () => undefined,
    } as unknown as UpstreamLoad;
    return {
        options: { retryAfterMs: 300, minInactivityTimeoutMs: 1_000, inactivityTimeoutGoalFactor: 2 } as RelayOptions,
        log: new NoLog(),
        registry,
        candidates: new UpstreamCandidates(
            registry,
            new EvacuatedZones(),
            new UpstreamBackoffs(),
            createLimiter(),
            createLimiter(),
        ),
        load,
        upstreams,
        quarantine: {
            tryGetQuarantine: () => undefined,
            recordBegun: () => () => undefined,
            recordCompleteResponse: () => undefined,
            recordInterrupted: () => undefined,
        },
        getLongestWaitMs: () => Infinity,
        getRouterCount: () => 1,
        getMaxUpstreamAgeMs: () => Infinity,
        getMaxConnections: () => 1,
        getEventLoopLagMs: () => 0,
        sharePlacement: () => undefined,
        recordReplaced: () => undefined,
        recordSignals: () => undefined,
        recorder: {
            recordAnswered: () => undefined,
            recordStopped: () => undefined,
            recordUnsuccessfulAttempt: () => undefined,
        },
        settlements: new PendingSettlements(),
        recordRefused: () => undefined,
        repeats,
        ...overrides,
    } as unknown as RelayContext;
}

function createRegistration(id: string): UpstreamRegistration {
    return { id, service: "s", address: `${id}:1`, zone: "a", slots: 4, state: "ready", sequence: 1, coldLeftMs: 0 };
}

/** Answers a request. `isStarted`: whether it is being sent only now. */
export function answer(listener: UpstreamListener, status: number, isStarted = true): void {
    if (isStarted) {
        listener.onStart(1_000);
    }
    const isAccepted = listener.onHead({
        status,
        headers: [],
        isNotRun: status === 421 || status === 503,
        isMisdirected: status === 421,
        hasMatchingId: true,
        isSigned: true,
        isFramed: true,
        signals: NO_SIGNALS,
    });
    if (isAccepted) {
        listener.onEnd();
    }
}

/** Creates a request of a route, which begins now. `route`, `request`: fields in place of those of the fixture. */
export function createResolvedRequest(route: object = {}, request: object = {}): ResolvedRequest {
    const now = performance.now();
    const forwarded = { id: "a1", method: "POST", target: "/", headers: [], body: Buffer.alloc(0) };
    return {
        request: {
            forwarded,
            host: "h",
            arrivedAt: now,
            readAt: now,
            promptTokens: 0,
            maxOutputTokens: 0,
            parts: [],
            ...request,
        },
        route: { name: "r", kind: "atMostOnce", timeoutMs: 10_000, goalMs: 1_000, rank: 0, maxAttempts: 1, ...route },
        service: SERVICE,
        account: undefined,
    } as unknown as ResolvedRequest;
}
