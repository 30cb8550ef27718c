/**
 * Planned stops of a router that relays connections and of the one that serves them, in any order: no request that was read is
 * cut off, and none begins that could not end in time.
 */
import fc from "fast-check";
import t from "tap";
import { RelayNotifier } from "../../src/daemons/directRouter/relayNotifier.js";
import { CallerConnection, type CallerExchange } from "../../src/domain/callerConnection.js";
import { MAX_RELAYING_ROUTERS, RelayingRouters, type RelayNotice } from "../../src/domain/relayingRouters.js";
import { StopSchedule } from "../../src/domain/stopSchedule.js";

const SEED = 20_273;
const RUN_COUNT = 300;
const STEP_MS = 10;
const END_MS = 16_000;
const EXAMINE_PERIOD_MS = 100;
const GRACE_MS = 8_000;
const TIMES = { announceMs: 2_700, gracePeriodMs: GRACE_MS, closingMarginMs: 700 };
const OVER_MS = GRACE_MS - TIMES.closingMarginMs;
/** Longest request that can end in time if it is sent before requests are refused. */
const MAX_RUN_MS = OVER_MS - TIMES.announceMs - 500;

const RELAYED = { instance: "relay", revision: 1, acceptedAt: 0 };

interface Scene {
    /** When the relaying router, and the one that serves, get the signal. */
    readonly relayStopsAt: number | undefined;
    readonly serverStopsAt: number | undefined;
    readonly latencyMs: number;
    /** Whether the notices are lost, repeatedly. */
    readonly lostNotices: readonly boolean[];
    /** Pause before each request of a caller, and how long it runs in silence. */
    readonly callers: readonly (readonly { readonly pauseMs: number; readonly runMs: number; }[])[];
}

/** A caller's connection, relayed to the router that serves it. */
class RelayedCaller {
    readonly connection = new CallerConnection("relay");
    private readonly requests: { pauseMs: number; runMs: number; }[];
    private nextAt: number;
    private readAt = Infinity;
    private answerAt = Infinity;
    private exchange: CallerExchange | undefined;
    private bytes = 0;
    private isEnded = false;
    private startedAt = -Infinity;
    readonly faults: string[] = [];

    constructor(requests: Scene["callers"][number], private readonly latencyMs: number) {
        this.requests = [...requests];
        this.nextAt = this.requests[0]?.pauseMs ?? Infinity;
    }

    /** `isClosing`: whether the serving router refuses requests of this connection. */
    step(now: number, isClosing: boolean): void {
        if (now >= this.nextAt) {
            this.nextAt = Infinity;
            this.readAt = now + this.latencyMs;
        }
        if (now >= this.readAt && !this.isEnded) {
            this.readAt = Infinity;
            this.bytes += 1;
            this.exchange = this.connection.beginExchange("a", now);
            this.connection.recordBodyEnd(this.exchange, this.bytes);
            this.startedAt = now;
            this.answerAt = isClosing ? now : now + this.requests[0]!.runMs;
        }
        if (now >= this.answerAt && this.exchange !== undefined) {
            this.connection.endExchange(this.exchange);
            this.exchange = undefined;
            this.answerAt = Infinity;
            this.requests.shift();
            this.nextAt = now + this.latencyMs + (this.requests[0]?.pauseMs ?? Infinity);
        }
    }

    examine(isClosing: boolean): void {
        this.isEnded ||= isClosing && this.connection.isIdle(this.bytes);
    }

    /** A process ends: nothing may be under way. */
    recordProcessEnd(name: string): void {
        if (!this.isEnded) {
            this.faults.push(
                `the ${name} ended with ${this.exchange === undefined ? "an open connection" : "a request"}`,
            );
        }
    }

    getStartedAt(): number {
        return this.startedAt;
    }
}

/** Plays the stops with the decisions of the product; returns what was cut off or begun too late. */
function playStops({ relayStopsAt, serverStopsAt, latencyMs, lostNotices, callers }: Scene): string[] {
    const relayStop = relayStopsAt === undefined ? undefined : new StopSchedule(relayStopsAt, TIMES);
    const serverStop = serverStopsAt === undefined ? undefined : new StopSchedule(serverStopsAt, TIMES);
    const relayingRouters = new RelayingRouters();
    const inFlight: { notice: RelayNotice; at: number; }[] = [];
    let noticeCount = 0;
    let now = 0;
    const tryNotify = (_address: string, _method: unknown, notice: unknown): boolean => {
        if (!lostNotices[noticeCount++ % lostNotices.length]) {
            inFlight.push({ notice: notice as RelayNotice, at: now + latencyMs });
        }
        return true;
    };
    const notifier = new RelayNotifier({ tryNotify }, at => ({
        instance: "relay",
        revision: 1,
        closesInMs: relayStopsAt === undefined || at < relayStopsAt ? undefined : relayStop!.getClosesInMs(at),
    }), () => ["server"]);
    const relayed = callers.map(requests => new RelayedCaller(requests, latencyMs));
    for (; now <= END_MS; now += STEP_MS) {
        while (inFlight[0] !== undefined && inFlight[0].at <= now) {
            relayingRouters.recordNotice(inFlight.shift()!.notice, now);
        }
        const isServerClosing = serverStopsAt !== undefined && now >= serverStopsAt
            && serverStop!.getPhase(now) !== "announcing";
        const isClosing = isServerClosing || relayingRouters.isClosed(RELAYED, 1, 0, now);
        relayed.forEach(caller => caller.step(now, isClosing));
        if (now % EXAMINE_PERIOD_MS === 0) {
            notifier.sendDue(now);
            relayed.forEach(caller => caller.examine(isClosing));
        }
        if (relayStopsAt !== undefined && now === relayStopsAt + OVER_MS) {
            relayed.forEach(caller => caller.recordProcessEnd("relaying router"));
        }
        if (serverStopsAt !== undefined && now === serverStopsAt + OVER_MS) {
            relayed.forEach(caller => caller.recordProcessEnd("serving router"));
        }
    }
    return relayed.flatMap(caller => caller.faults);
}

const stopAt = fc.option(fc.integer({ min: 0, max: 70 }).map(steps => steps * 100), { nil: undefined });
const request = fc.record({
    pauseMs: fc.integer({ min: 0, max: 7_000 }),
    runMs: fc.integer({ min: 0, max: MAX_RUN_MS }),
});
const scene: fc.Arbitrary<Scene> = fc.record({
    relayStopsAt: stopAt,
    serverStopsAt: stopAt,
    latencyMs: fc.integer({ min: 0, max: 100 }),
    // At least the last of three notices in a row arrives.
    lostNotices: fc.tuple(fc.boolean(), fc.boolean()).map(lost => [...lost, false]),
    callers: fc.array(fc.array(request, { maxLength: 8 }), { minLength: 1, maxLength: 6 }),
});

// Guards against relayed connections that are closed with a silent request, or that take requests until the process ends.
void t.test("stops of a relaying router and of its neighbour, in any order, cut off no request", t => {
    fc.assert(
        fc.property(scene, scene => {
            const faults = playStops(scene);
            if (faults.length > 0) {
                throw new Error(faults.join("; "));
            }
        }),
        { seed: SEED, numRuns: RUN_COUNT },
    );
    t.end();
});

const notice = fc.record({
    instance: fc.constantFrom("a", "b", "c"),
    revision: fc.integer({ min: 1, max: 3 }),
    closesInMs: fc.option(fc.integer({ min: 0, max: 3_000 }), { nil: undefined }),
    afterMs: fc.integer({ min: 0, max: 500 }),
});

// Guards against a stop that a late or repeated notice takes back or puts off.
void t.test("a router that has announced its stop closes at the earliest time that it has named, whatever notices follow", t => {
    fc.assert(
        fc.property(fc.array(notice, { maxLength: 30 }), notices => {
            const relayingRouters = new RelayingRouters();
            const closesAt = new Map<string, number>();
            let now = 0;
            for (const { instance, revision, closesInMs, afterMs } of notices) {
                now += afterMs;
                relayingRouters.recordNotice({ instance, revision, closesInMs }, now);
                if (closesInMs !== undefined) {
                    closesAt.set(instance, Math.min(closesAt.get(instance) ?? Infinity, now + closesInMs));
                }
                for (const name of ["a", "b", "c"]) {
                    const connection = { instance: name, revision: undefined, acceptedAt: 0 };
                    const isStopping = relayingRouters.isStopping(connection);
                    const announced = notices.slice(0, notices.length).find(entry => entry.instance === name);
                    if (isStopping !== closesAt.has(name)) {
                        throw new Error(`${name} ${announced === undefined ? "was never" : "was"} announced`);
                    }
                    if (now >= (closesAt.get(name) ?? Infinity) && !relayingRouters.isClosed(connection, 1, now, now)) {
                        throw new Error(`${name} takes requests after its end`);
                    }
                }
            }
        }),
        { seed: SEED, numRuns: RUN_COUNT },
    );
    t.end();
});

void t.test("connections of another configuration are closed once both routers should have the same", t => {
    const relayingRouters = new RelayingRouters();
    const connection = { instance: "a", revision: 1, acceptedAt: 0 };
    t.notOk(relayingRouters.isClosed(connection, 1, 0, 10_000), "the same on both");
    t.notOk(relayingRouters.isClosed(connection, 2, 10_000, 10_200), "the relaying router may have it in a moment");
    t.ok(relayingRouters.isClosed(connection, 2, 10_000, 10_250), "callers would see the older one again");
    relayingRouters.recordNotice({ instance: "a", revision: 2 }, 10_300);
    t.notOk(relayingRouters.isClosed(connection, 2, 10_000, 11_000), "both have it");
    relayingRouters.recordNotice({ instance: "a", revision: 3 }, 12_000);
    t.notOk(relayingRouters.isClosed(connection, 2, 10_000, 12_200));
    t.ok(relayingRouters.isClosed(connection, 2, 10_000, 12_250), "callers may have seen the newer one");
    t.end();
});

// Guards against new connections that are refused because of what their relaying router announced before an earlier change.
void t.test("an announcement from before a connection was accepted does not close it", t => {
    const relayingRouters = new RelayingRouters();
    relayingRouters.recordNotice({ instance: "a", revision: 1 }, 0);
    const connection = { instance: "a", revision: 2, acceptedAt: 60_000 };
    t.notOk(relayingRouters.isClosed(connection, 2, 30_000, 61_000));
    relayingRouters.recordNotice({ instance: "a", revision: 3 }, 62_000);
    t.ok(relayingRouters.isClosed(connection, 2, 30_000, 62_250));
    t.end();
});

void t.test("the number of relaying processes that are remembered is bounded", t => {
    const relayingRouters = new RelayingRouters();
    for (let i = 0; i <= MAX_RELAYING_ROUTERS; i++) {
        relayingRouters.recordNotice({ instance: `i${i}`, revision: 1, closesInMs: 0 }, i);
    }
    t.notOk(relayingRouters.isStopping({ instance: "i0" }), "the oldest is forgotten");
    t.ok(relayingRouters.isStopping({ instance: "i1" }));
    t.ok(relayingRouters.isStopping({ instance: undefined }), "one of a version that does not tell");
    t.end();
});
