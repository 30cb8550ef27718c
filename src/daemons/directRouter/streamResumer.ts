/** Finds out where a stream that its caller resumes may go on. */
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import { resolveResumption, type ResumptionDecision, type ResumptionRefusalCause } from "../../domain/resumption.js";
import type { KnownOrigin, StreamOrigin } from "../../domain/streamOrigins.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { findOriginMethod } from "../../protocol/streamMethods.js";
import type { ResolvedRequest } from "./relayRequest.js";
import type { ServiceVersionReader } from "./serviceVersionReader.js";
import {
    listServices,
    type MixedServicePredicate,
    type StreamOriginReporter,
    tryComputeKey,
} from "./streamOriginReporter.js";

/** Times in milliseconds. */
export interface StreamResumerOptions {
    readonly lookupTimeoutMs: number;
    /** Returns the current lag of the event loop, by which answers are read late. */
    readonly getEventLoopLagMs: () => number;
    /** Retry-After of a refused resumption. */
    readonly retryAfterMs: number;
}

/** Where the origin of a resumed stream was found. */
type OriginSource = "router" | "controllers" | "onlyVersion";

interface FoundOrigins {
    readonly origins: readonly KnownOrigin[];
    readonly askedCount: number;
    readonly answeredCount: number;
}

/** Delayed event loop turns of a call: one to send it, one to read the answer. */
const EVENT_LOOP_TURNS = 2;
const NOBODY_ASKED: FoundOrigins = { origins: [], askedCount: 0, answeredCount: 0 };

/** Whether a request continues a stream that an earlier attempt of its caller began. */
export function isResumption({ request, route }: ResolvedRequest): boolean {
    return route.kind === "stream" && (request.resumedAttempt !== undefined || request.resumeAfter !== undefined);
}

export class StreamResumer {
    /** `getControllers`: addresses of all controllers. */
    constructor(
        private readonly reporter: StreamOriginReporter,
        private readonly reader: ServiceVersionReader,
        private readonly isMixed: MixedServicePredicate,
        private readonly getControllers: () => readonly string[],
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: StreamResumerOptions,
    ) {}

    /** Resolves to the origin that a stream has to go on at, or to a refusal, within the lookup timeout. Never rejects. */
    async resolve(resolved: ResolvedRequest): Promise<StreamOrigin | Refusal> {
        const startedAt = performance.now();
        const { request } = resolved;
        const services = listServices(resolved);
        const own = request.resumedAttempt === undefined
            ? undefined
            : this.reporter.tryGet(resolved, request.resumedAttempt);
        if (own !== undefined) {
            const found = { origins: [own], askedCount: 0, answeredCount: 0 };
            const decision = resolveResumption({ services, origins: [own], versions: undefined, isComplete: true });
            return this.finish(resolved, decision, "router", found, startedAt);
        }
        const timeoutMs = this.options.lookupTimeoutMs + EVENT_LOOP_TURNS * this.options.getEventLoopLagMs();
        // The other half is left to ask for the origin.
        const versions = await this.readVersions(services, timeoutMs / 2);
        if (versions !== undefined && versions.length <= 1) {
            const decision = resolveResumption({ services, origins: [], versions, isComplete: true });
            return this.finish(resolved, decision, "onlyVersion", NOBODY_ASKED, startedAt);
        }
        const remainingMs = startedAt + timeoutMs - performance.now();
        const found = await this.findOrigins(resolved, Math.max(1, Math.floor(remainingMs)));
        const isComplete = found.askedCount > 0 && found.answeredCount === found.askedCount;
        const decision = resolveResumption({ services, origins: found.origins, versions, isComplete });
        return this.finish(resolved, decision, "controllers", found, startedAt);
    }

    /** Resolves to undefined if the versions are unknown, or if streams can have begun at several in any case. */
    private async readVersions(
        services: readonly string[],
        timeoutMs: number,
    ): Promise<readonly string[] | undefined> {
        const [service] = services;
        if (services.length !== 1 || this.isMixed(service!)) {
            return undefined;
        }
        const timeout = this.clock.wait(timeoutMs).then(() => undefined);
        return Promise.race([this.reader.read(service!, timeoutMs), timeout]);
    }

    /** Asks all controllers; resolves when one knows the stream or all have answered or failed. */
    private async findOrigins(resolved: ResolvedRequest, timeoutMs: number): Promise<FoundOrigins> {
        const { resumedAttempt } = resolved.request;
        const key = resumedAttempt === undefined ? undefined : tryComputeKey(resolved, resumedAttempt);
        if (key === undefined) {
            return { origins: [], askedCount: 1, answeredCount: 1 };
        }
        const controllers = this.getControllers();
        let answeredCount = 0;
        const calls = controllers.map(async address => {
            const { origin } = await this.network.call(address, findOriginMethod, { key }, timeoutMs);
            answeredCount += 1;
            if (origin === undefined) {
                throw new Error("unknown stream");
            }
            return origin;
        });
        try {
            const origin = await Promise.any(calls);
            return { origins: [origin], askedCount: controllers.length, answeredCount };
        }
        catch {
            return { origins: [], askedCount: controllers.length, answeredCount };
        }
    }

    private finish(
        { request, route }: ResolvedRequest,
        decision: ResumptionDecision,
        source: OriginSource,
        { askedCount, answeredCount }: FoundOrigins,
        startedAt: number,
    ): StreamOrigin | Refusal {
        const fields = {
            request: request.forwarded.id,
            route: route.name,
            resumes: request.resumedAttempt,
            resume_after: request.resumeAfter,
            asked: askedCount,
            answered: answeredCount,
            took_ms: Math.round(performance.now() - startedAt),
        };
        if (decision.type === "resume") {
            const { service, version } = decision.origin;
            this.metrics.addCount("streams_resumed");
            this.log.info("stream_resumed", { ...fields, service, version, source });
            return decision.origin;
        }
        this.recordRefused(decision.cause);
        this.log.warn("stream_not_resumed", { ...fields, cause: decision.cause });
        return this.createRefusal(decision.cause);
    }

    private recordRefused(cause: ResumptionRefusalCause): void {
        this.metrics.addCount("streams_not_resumed");
        this.metrics.addCount(`streams_not_resumed_${cause}`);
    }

    private createRefusal(cause: ResumptionRefusalCause): Refusal {
        const code = cause === "serviceRemoved" ? "versionUnavailable" : "streamOriginUnknown";
        return createRefusal(code, cause, "no", this.options.retryAfterMs);
    }
}
