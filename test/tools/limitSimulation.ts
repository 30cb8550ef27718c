/**
 * Simulates many routers that send to one upstream with a temporary rate limit. Each router uses the production
 * components; notices between routers are delayed or lost.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { UpstreamSignalRecorder } from "../../src/daemons/directRouter/upstreamSignalRecorder.js";
import type { BundleService } from "../../src/domain/bundle.js";
import { DistributedRateLimiter, LIMIT_PROBE_FRACTION } from "../../src/domain/distributedRateLimiter.js";
import { EvacuatedZones } from "../../src/domain/evacuatedZones.js";
import { UpstreamBackoffs } from "../../src/domain/upstreamBackoffs.js";
import { UpstreamCandidates } from "../../src/domain/upstreamCandidates.js";
import {
    type HeardRegistration,
    type UpstreamRegistration,
    UpstreamRegistry,
} from "../../src/domain/upstreamRegistry.js";
import { NO_SIGNALS } from "../../src/domain/upstreamSignals.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { FakeClock } from "./fakes.js";

const SERVICE: BundleService = { name: "s", maxConnections: 8, coldStartMs: 0 };
const UPSTREAM: UpstreamRegistration = {
    id: "u",
    service: "s",
    address: "10.9.0.1:80",
    zone: "a",
    slots: 8,
    state: "ready",
    sequence: 1,
};
/** Time from a request to its response, and maximum delay of a notice between routers. Milliseconds. */
const MIN_RESPONSE_MS = 4;
const MAX_RESPONSE_MS = 300;
const MAX_NOTICE_DELAY_MS = 60;

export interface LimitSimulationOptions {
    readonly seed: number;
    readonly routers: number;
    /** Requests per second that each router would send without a limit. */
    readonly demandPerSecond: number;
    readonly limitPerSecond: number;
    /** How long the upstream names its limit, from time 0. Milliseconds. */
    readonly limitedMs: number;
    /** Fraction of its peers that a router does not know, and fraction of notices that are lost. */
    readonly unknownFraction: number;
    readonly noticeLossFraction: number;
    /** Interval at which a random router restarts; undefined for no restarts. Milliseconds. */
    readonly restartIntervalMs?: number;
}

/** A request that reached the upstream. Times in milliseconds since the start. */
interface Arrival {
    readonly at: number;
    /** When its router first received an answer with a limit; Infinity if it had not yet. */
    readonly routerInformedAt: number;
}

interface Router {
    readonly name: string;
    registry: UpstreamRegistry;
    sharing: DistributedRateLimiter;
    candidates: UpstreamCandidates;
    receiver: UpstreamSignalRecorder;
    informedAt: number;
}

export class LimitSimulation {
    readonly arrivals: Arrival[] = [];
    /** Number of notices that routers have sent; one goes to all peers. */
    notices = 0;
    private readonly clock = new FakeClock();
    private readonly startMs = this.clock.getMonotonicMs();
    private readonly scheduledTasks = new Map<number, (() => void)[]>();
    private readonly routers: Router[];
    private readonly generator: { next(): number; };

    constructor(private readonly options: LimitSimulationOptions) {
        this.generator = xoroshiro128plus(options.seed);
        const names = Array.from({ length: options.routers }, (_, i) => `10.0.${options.seed}.${i}:7340`);
        this.routers = names.map(name => this.createRouter(name, names));
    }

    /** Advances the simulated time to `endMs`. */
    run(endMs: number): void {
        this.routers.forEach(router => this.scheduleNextRequest(router));
        this.scheduleRestart();
        for (let now = 0; now < endMs; now++) {
            // A task may schedule further tasks for the same millisecond.
            for (let tasks = this.scheduledTasks.get(now); tasks !== undefined && tasks.length > 0;) {
                tasks.shift()!();
            }
            this.scheduledTasks.delete(now);
            this.clock.advance(1);
        }
    }

    /**
     * Returns the highest number of requests in any window of `windowMs` after `from`, of routers that had known the
     * limit for 500 ms.
     */
    computePeakRequests(from: number, windowMs: number): number {
        const times = this.arrivals
            .filter(({ at, routerInformedAt }) => at >= from && at - routerInformedAt >= 500)
            .map(({ at }) => at)
            .sort((a, b) => a - b);
        let peak = 0;
        let first = 0;
        times.forEach((at, i) => {
            while (times[first]! <= at - windowMs) {
                first += 1;
            }
            peak = Math.max(peak, i - first + 1);
        });
        return peak;
    }

    /** Returns the requests per second that reached the upstream between `from` and `to`. */
    getRate(from: number, to: number): number {
        return this.arrivals.filter(({ at }) => at >= from && at < to).length / (to - from) * 1_000;
    }

    /** Counts the routers that consider the upstream limited. */
    countRoutersWithLimit(): number {
        return this.routers.filter(({ registry }) => registry.tryGetLimit(UPSTREAM) !== undefined).length;
    }

    private createRouter(name: string, names: readonly string[]): Router {
        const registry = new UpstreamRegistry();
        registry.record(UPSTREAM, this.clock.getMonotonicMs());
        const sharing = new DistributedRateLimiter(name, () => this.draw(), LIMIT_PROBE_FRACTION);
        const peers = names.filter(other => other !== name && this.draw() >= this.options.unknownFraction);
        sharing.setPeers(peers, names.length);
        sharing.enable();
        const cold = new DistributedRateLimiter(name, () => this.draw(), 0);
        const rests = new UpstreamBackoffs();
        const candidates = new UpstreamCandidates(registry, new EvacuatedZones(), rests, cold, sharing);
        const notify = (heard: HeardRegistration) => this.notifyPeers(name, heard);
        const receiver = new UpstreamSignalRecorder(registry, rests, notify, this.clock, new NoLog(), new NoMetrics());
        return { name, registry, sharing, candidates, receiver, informedAt: Infinity };
    }

    private scheduleNextRequest(router: Router): void {
        const pauseMs = -Math.log(1 - this.draw()) * 1_000 / this.options.demandPerSecond;
        this.schedule(pauseMs, () => {
            this.trySend(router);
            this.scheduleNextRequest(router);
        });
    }

    private trySend(router: Router): void {
        const now = this.clock.getMonotonicMs();
        if (router.candidates.list(SERVICE, now, Infinity).upstreams.length === 0) {
            return;
        }
        router.candidates.recordSend(UPSTREAM, SERVICE, now);
        this.arrivals.push({ at: this.getElapsedMs(), routerInformedAt: router.informedAt });
        const isLimited = this.getElapsedMs() < this.options.limitedMs;
        const responseMs = MIN_RESPONSE_MS + this.draw() * (MAX_RESPONSE_MS - MIN_RESPONSE_MS);
        const signals = isLimited ? { ...NO_SIGNALS, limitPerSecond: this.options.limitPerSecond } : NO_SIGNALS;
        this.schedule(responseMs, () => {
            router.informedAt = Math.min(router.informedAt, isLimited ? this.getElapsedMs() : Infinity);
            router.receiver.recordSignals(UPSTREAM, signals, now);
        });
    }

    private notifyPeers(name: string, heard: HeardRegistration): void {
        this.notices += 1;
        for (const router of this.routers) {
            if (router.name !== name && this.draw() >= this.options.noticeLossFraction) {
                this.schedule(this.draw() * MAX_NOTICE_DELAY_MS, () => router.receiver.recordReportedLimit(heard));
            }
        }
    }

    private scheduleRestart(): void {
        const { restartIntervalMs } = this.options;
        if (restartIntervalMs !== undefined) {
            this.schedule(restartIntervalMs, () => {
                const i = Math.floor(this.draw() * this.routers.length);
                const { name } = this.routers[i]!;
                Object.assign(this.routers[i]!, this.createRouter(name, this.routers.map(router => router.name)));
                this.scheduleRestart();
            });
        }
    }

    private schedule(inMs: number, task: () => void): void {
        const at = this.getElapsedMs() + Math.max(1, Math.round(inMs));
        const tasks = this.scheduledTasks.get(at) ?? [];
        tasks.push(task);
        this.scheduledTasks.set(at, tasks);
    }

    private getElapsedMs(): number {
        return this.clock.getMonotonicMs() - this.startMs;
    }

    private draw(): number {
        return (this.generator.next() >>> 0) / 2 ** 32;
    }
}
