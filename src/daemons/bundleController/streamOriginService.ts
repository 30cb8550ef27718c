/**
 * Keeps, in memory, the origins of streams that routers report, so that a stream can be resumed at any router, also after
 * the router that began it has ended.
 */
import { type KnownOrigin, type OriginReport, StreamOrigins } from "../../domain/streamOrigins.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";

/** About 30 MB. Beyond it, the oldest are forgotten and can no longer be resumed. */
const MAX_STREAMS = 100_000;
const EVICTION_PERIOD_MS = 5_000;

export class StreamOriginService {
    private readonly origins = new StreamOrigins(MAX_STREAMS);
    private evictionTimer: NodeJS.Timeout | undefined;

    constructor(private readonly clock: Clock, private readonly log: Log) {}

    start(): void {
        this.evictionTimer = setInterval(() => this.evictExpired(), EVICTION_PERIOD_MS);
    }

    stop(): void {
        clearInterval(this.evictionTimer);
    }

    recordReports(streams: readonly OriginReport[]): void {
        const now = this.clock.getMonotonicMs();
        streams.forEach(({ key, origin, leftMs }) => this.origins.record(key, origin, now + leftMs, now));
    }

    tryFind(key: string): KnownOrigin | undefined {
        return this.origins.tryGet(key, this.clock.getMonotonicMs());
    }

    private evictExpired(): void {
        const heldCount = this.origins.getSize();
        this.origins.evictExpired(this.clock.getMonotonicMs());
        if (heldCount > 0) {
            this.log.info("stream_origins", { held: this.origins.getSize() });
        }
    }
}
