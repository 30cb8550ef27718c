/**
 * Many routers before one upstream that names a limit for a while, in simulated time: each router decides by the parts that
 * decide in the product, and the word goes from router to router with a delay, or not at all.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SignalReceiver } from "../../src/daemons/directRouter/signalReceiver.js";
import type { BundleService } from "../../src/domain/bundle.js";
import { EvacuatedZones } from "../../src/domain/evacuatedZones.js";
import { LIMIT_TRIAL_PART, RateSharing } from "../../src/domain/rateSharing.js";
import { UpstreamCandidates } from "../../src/domain/upstreamCandidates.js";
import {
    type HeardRegistration,
    type UpstreamRegistration,
    UpstreamRegistry,
} from "../../src/domain/upstreamRegistry.js";
import { UpstreamRests } from "../../src/domain/upstreamRests.js";
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
/** From a router's sending until the answer begins, and from one router's notice until another has it. Milliseconds. */
const LEAST_ANSWER_MS = 4;
const MOST_ANSWER_MS = 300;
const MOST_NOTICE_MS = 60;

export interface LimitWorldOptions {
    readonly seed: number;
    readonly routers: number;
    /** Requests a second that each router could send. */
    readonly demand: number;
    readonly limit: number;
    /** Until when the upstream names its limit, from 0 on. Milliseconds. */
    readonly limitedMs: number;
    /** Part of the other routers that a router does not know, and part of the notices that are lost. */
    readonly unknownPart: number;
    readonly lostPart: number;
    /** Every so often a router starts anew; undefined where none does. Milliseconds. */
    readonly restartMs?: number;
}

/** A request that reached the upstream. Milliseconds. */
interface Arrival {
    readonly at: number;
    /** When its router had been answered with a limit for the first time; Infinity where it had not. */
    readonly routerToldAt: number;
}

interface Router {
    readonly name: string;
    registry: UpstreamRegistry;
    sharing: RateSharing;
    candidates: UpstreamCandidates;
    receiver: SignalReceiver;
    toldAt: number;
}

export class LimitWorld {
    readonly arrivals: Arrival[] = [];
    /** Notices that routers sent, to all others at once. */
    notices = 0;
    private readonly clock = new FakeClock();
    private readonly start = this.clock.getMonotonicMs();
    private readonly due = new Map<number, (() => void)[]>();
    private readonly routers: Router[];
    private readonly generator: { next(): number; };

    constructor(private readonly options: LimitWorldOptions) {
        this.generator = xoroshiro128plus(options.seed);
        const names = Array.from({ length: options.routers }, (_, i) => `10.0.${options.seed}.${i}:7340`);
        this.routers = names.map(name => this.createRouter(name, names));
    }

    /** Lets time pass until `endMs`. */
    play(endMs: number): void {
        this.routers.forEach(router => this.scheduleSending(router));
        this.scheduleRestart();
        for (let now = 0; now < endMs; now++) {
            // What is done may make more due at this moment.
            for (let tasks = this.due.get(now); tasks !== undefined && tasks.length > 0;) {
                tasks.shift()!();
            }
            this.due.delete(now);
            this.clock.advance(1);
        }
    }

    /** The most requests that reached the upstream in `spanMs` from `from` on, of routers that had been told. */
    countBusiest(from: number, spanMs: number): number {
        const times = this.arrivals
            .filter(({ at, routerToldAt }) => at >= from && at - routerToldAt >= 500)
            .map(({ at }) => at)
            .sort((a, b) => a - b);
        let busiest = 0;
        let first = 0;
        times.forEach((at, i) => {
            while (times[first]! <= at - spanMs) {
                first += 1;
            }
            busiest = Math.max(busiest, i - first + 1);
        });
        return busiest;
    }

    /** Requests a second that reached the upstream between two moments. */
    getRate(from: number, to: number): number {
        return this.arrivals.filter(({ at }) => at >= from && at < to).length / (to - from) * 1_000;
    }

    /** How many routers believe that the upstream has a limit. */
    countBelievers(): number {
        return this.routers.filter(({ registry }) => registry.tryGetLimit(UPSTREAM) !== undefined).length;
    }

    private createRouter(name: string, names: readonly string[]): Router {
        const registry = new UpstreamRegistry();
        registry.record(UPSTREAM, this.clock.getMonotonicMs());
        const sharing = new RateSharing(name, () => this.draw(), LIMIT_TRIAL_PART);
        const others = names.filter(other => other !== name && this.draw() >= this.options.unknownPart);
        sharing.setOthers(others, names.length);
        sharing.settle();
        const cold = new RateSharing(name, () => this.draw(), 0);
        const rests = new UpstreamRests();
        const candidates = new UpstreamCandidates(registry, new EvacuatedZones(), rests, cold, sharing);
        const tell = (heard: HeardRegistration) => this.tellOthers(name, heard);
        const receiver = new SignalReceiver(registry, rests, tell, this.clock, new NoLog(), new NoMetrics());
        return { name, registry, sharing, candidates, receiver, toldAt: Infinity };
    }

    private scheduleSending(router: Router): void {
        const pauseMs = -Math.log(1 - this.draw()) * 1_000 / this.options.demand;
        this.schedule(pauseMs, () => {
            this.trySend(router);
            this.scheduleSending(router);
        });
    }

    private trySend(router: Router): void {
        const now = this.clock.getMonotonicMs();
        if (router.candidates.list(SERVICE, now, Infinity).upstreams.length === 0) {
            return;
        }
        router.candidates.recordSend(UPSTREAM, SERVICE, now);
        this.arrivals.push({ at: this.getNow(), routerToldAt: router.toldAt });
        const isLimited = this.getNow() < this.options.limitedMs;
        const answerMs = LEAST_ANSWER_MS + this.draw() * (MOST_ANSWER_MS - LEAST_ANSWER_MS);
        const signals = isLimited ? { ...NO_SIGNALS, limitPerSecond: this.options.limit } : NO_SIGNALS;
        this.schedule(answerMs, () => {
            router.toldAt = Math.min(router.toldAt, isLimited ? this.getNow() : Infinity);
            router.receiver.record(UPSTREAM, signals, now);
        });
    }

    private tellOthers(name: string, heard: HeardRegistration): void {
        this.notices += 1;
        for (const router of this.routers) {
            if (router.name !== name && this.draw() >= this.options.lostPart) {
                this.schedule(this.draw() * MOST_NOTICE_MS, () => router.receiver.receive(heard));
            }
        }
    }

    private scheduleRestart(): void {
        const { restartMs } = this.options;
        if (restartMs !== undefined) {
            this.schedule(restartMs, () => {
                const i = Math.floor(this.draw() * this.routers.length);
                const { name } = this.routers[i]!;
                Object.assign(this.routers[i]!, this.createRouter(name, this.routers.map(router => router.name)));
                this.scheduleRestart();
            });
        }
    }

    private schedule(inMs: number, task: () => void): void {
        const at = this.getNow() + Math.max(1, Math.round(inMs));
        const tasks = this.due.get(at) ?? [];
        tasks.push(task);
        this.due.set(at, tasks);
    }

    private getNow(): number {
        return this.clock.getMonotonicMs() - this.start;
    }

    private draw(): number {
        return (this.generator.next() >>> 0) / 2 ** 32;
    }
}
