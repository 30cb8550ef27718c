/**
 * Remembers the streams that this router began and reports them to controllers, so that they can be resumed at any router.
 * Only streams that may have another origin elsewhere are reported: those of services with several software versions and of
 * routes with several services.
 */
import { chooseByRendezvous } from "../../domain/identifiers.js";
import {
    computeStreamKey,
    type KnownOrigin,
    MAX_ORIGIN_RETENTION_MS,
    type OriginReport,
    type StreamOrigin,
    StreamOrigins,
    type StreamOriginsOptions,
} from "../../domain/streamOrigins.js";
import { MAX_MESSAGE_DELAY_MS, type UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { MAX_NOTICE_ORIGINS, originNoticeMethod } from "../../protocol/streamMethods.js";
import type { ResolvedRequest } from "./relayRequest.js";

const EVICTION_PERIOD_MS = 1_000;

/** Whether streams of a service can have begun at different software versions. */
export type MixedServicePredicate = (service: string) => boolean;

export class StreamOriginReporter {
    private readonly origins: StreamOrigins;
    /** Keys of streams on routes with several services, which are reported whatever the versions are. */
    private readonly splitKeys = new Set<string>();
    private readonly pendingKeys = new Set<string>();
    /** Controllers that hold this router's reports. */
    private holders: readonly string[] = [];
    private isFlushScheduled = false;
    private evictionTimer: NodeJS.Timeout | undefined;

    /** `address`: this router's address, by which it chooses the controllers that it reports to. */
    constructor(
        private readonly address: string,
        private readonly isMixed: MixedServicePredicate,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: StreamOriginsOptions,
    ) {
        this.origins = new StreamOrigins(options.maxStreams);
    }

    start(): void {
        this.evictionTimer = setInterval(() => this.evictExpired(), EVICTION_PERIOD_MS);
    }

    stop(): void {
        clearInterval(this.evictionTimer);
    }

    /**
     * Records that an upstream sent the first event of a stream to a caller's attempt. `origin`: ambiguous if the upstream's
     * version is not certain.
     */
    recordBegun(resolved: ResolvedRequest, origin: KnownOrigin, upstream: UpstreamRegistration): void {
        const { request, route } = resolved;
        const key = tryComputeKey(resolved, request.forwarded.id);
        if (key === undefined) {
            return;
        }
        const now = this.clock.getMonotonicMs();
        const deadlineAt = request.arrivedAt + Math.max(request.timeoutMs ?? 0, route.timeoutMs);
        const retentionMs = Math.max(this.options.minRetentionMs, deadlineAt - now);
        const expiresAt = now + Math.min(retentionMs, MAX_ORIGIN_RETENTION_MS);
        if (!this.origins.record(key, origin, expiresAt, now, upstream.id)) {
            return;
        }
        const isSplit = listServices(resolved).length > 1;
        if (isSplit) {
            this.splitKeys.add(key);
        }
        if (isSplit || this.isMixed(resolved.service.name)) {
            this.enqueue([key]);
        }
    }

    /** Returns undefined if this router did not begin the stream of that attempt. */
    tryGet(resolved: ResolvedRequest, attemptId: string): KnownOrigin | undefined {
        const key = tryComputeKey(resolved, attemptId);
        return key === undefined ? undefined : this.origins.tryGet(key, this.clock.getMonotonicMs());
    }

    /**
     * Makes the streams ambiguous that an upstream began shortly before it was heard of with another software version: its
     * process may have had that version already.
     */
    recordVersionChange(upstreamId: string): void {
        const keys = this.origins.markAmbiguous(upstreamId, this.clock.getMonotonicMs() - MAX_MESSAGE_DELAY_MS);
        if (keys.length > 0) {
            this.log.warn("stream_origins_ambiguous", { upstream: upstreamId, streams: keys.length });
            this.enqueue(keys);
        }
    }

    /** Reports the streams of services that have become mixed. */
    reportMixedServices(): void {
        this.enqueue(this.listReportedKeys());
    }

    /** Applies the controllers in contact. One that was not reported to before gets all streams. */
    setControllers(addresses: readonly string[]): void {
        const previous = this.holders;
        this.holders = chooseByRendezvous(this.address, addresses, this.options.copies);
        this.holders.filter(holder => !previous.includes(holder)).forEach(holder => this.reportAll(holder));
    }

    /** Reports all streams again to a controller that may have restarted or missed reports. */
    recordReconnected(controller: string): void {
        if (this.holders.includes(controller)) {
            this.reportAll(controller);
        }
    }

    private reportAll(controller: string): void {
        this.sendReports(controller, this.createReports(this.listReportedKeys()));
    }

    private listReportedKeys(): string[] {
        return [...new Set([...this.origins.listKeys(this.isMixed), ...this.splitKeys])];
    }

    private enqueue(keys: readonly string[]): void {
        keys.forEach(key => this.pendingKeys.add(key));
        if (!this.isFlushScheduled && this.pendingKeys.size > 0) {
            this.isFlushScheduled = true;
            void this.flushAfterDelay();
        }
    }

    private async flushAfterDelay(): Promise<void> {
        await this.clock.wait(this.options.batchDelayMs);
        this.isFlushScheduled = false;
        const reports = this.createReports([...this.pendingKeys]);
        this.pendingKeys.clear();
        this.holders.forEach(holder => this.sendReports(holder, reports));
    }

    private createReports(keys: readonly string[]): OriginReport[] {
        const now = this.clock.getMonotonicMs();
        return keys.flatMap(key => this.origins.tryCreateReport(key, now) ?? []);
    }

    /** A report that is lost with its connection is made again once there is a new one. */
    private sendReports(controller: string, reports: readonly OriginReport[]): void {
        if (reports.length === 0) {
            return;
        }
        this.metrics.addCount("stream_origins_reported", reports.length);
        this.network.connect(controller).then(
            peer => {
                for (let from = 0; from < reports.length; from += MAX_NOTICE_ORIGINS) {
                    peer.notify(originNoticeMethod, { streams: reports.slice(from, from + MAX_NOTICE_ORIGINS) });
                }
            },
            error => this.log.info("stream_origins_not_reported", { controller, error: String(error) }),
        );
    }

    private evictExpired(): void {
        const now = this.clock.getMonotonicMs();
        this.origins.evictExpired(now);
        for (const key of this.splitKeys) {
            if (this.origins.tryGet(key, now) === undefined) {
                this.splitKeys.delete(key);
            }
        }
        this.metrics.setGauge("stream_origins", this.origins.getSize());
    }
}

/** Returns undefined for attempts without an id, which nothing can refer to. */
export function tryComputeKey({ account }: ResolvedRequest, attemptId: string): string | undefined {
    return attemptId === "" ? undefined : computeStreamKey(account?.name, attemptId);
}

/** Lists the services that a request's route leads to. */
export function listServices({ route }: ResolvedRequest): string[] {
    return route.targets.filter(({ weight }) => weight > 0).map(({ service }) => service);
}

/** Returns the origin of streams that an upstream begins. */
export function createOrigin({ service, version = "" }: UpstreamRegistration): StreamOrigin {
    return { service, version };
}
