/** Guards against a planned stop that ends while a connection has a request, or that outlasts its time. */
import fc from "fast-check";
import t from "tap";
import { type DrainableServer, drainConnections } from "../../src/daemons/connectionDrain.js";
import { StopSchedule } from "../../src/domain/stopSchedule.js";
import { NoLog } from "../../src/ports/log.js";
import { FakeClock } from "../tools/fakes.js";

const SEED = 20_273;
const RUN_COUNT = 100;
const GRACE_MS = 8_000;
const OVER_MS = 7_300;
const ANNOUNCE_MS = 2_700;
const NO_CONNECTIONS = { connections: 0, idle: 0, heads: 0, bodies: 0, running: 0, answering: 0, unsent: 0 };

/** Advances by each wait. */
class WaitingClock extends FakeClock {
    override wait(ms = 0): Promise<void> {
        this.advance(ms);
        return Promise.resolve();
    }
}

/** Connections that carry requests during the given spans, relative to the beginning of the stop, in milliseconds. */
class FakeServer implements DrainableServer {
    isListening = true;
    readonly endedAt: (number | undefined)[];

    constructor(
        private readonly spans: readonly { readonly from: number; readonly to: number; }[],
        private readonly getElapsedMs: () => number,
    ) {
        this.endedAt = spans.map(() => undefined);
    }

    stopListening(): Promise<void> {
        this.isListening = false;
        return Promise.resolve();
    }

    endIdleConnections(): void {
        const now = this.getElapsedMs();
        this.spans.forEach(({ from, to }, i) => {
            if (this.endedAt[i] === undefined && (now < from || now >= to)) {
                this.endedAt[i] = now;
            }
        });
    }

    countUndelivered(): number {
        return this.endedAt.filter(at => at === undefined).length;
    }

    countRelayed(): number {
        return 0;
    }

    countConnections(): typeof NO_CONNECTIONS {
        return NO_CONNECTIONS;
    }
}

const span = fc.tuple(fc.integer({ min: 0, max: 6_000 }), fc.integer({ min: 1, max: 9_000 }))
    .map(([from, lengthMs]) => ({ from, to: from + lengthMs }));

void t.test("a stop waits for every request, and ends by its time", async t => {
    const check = async (spans: readonly { from: number; to: number; }[]): Promise<void> => {
        const clock = new WaitingClock();
        const startedAt = clock.getMonotonicMs();
        const server = new FakeServer(spans, () => clock.getMonotonicMs() - startedAt);
        const options = { announceMs: ANNOUNCE_MS, gracePeriodMs: GRACE_MS, closingMarginMs: GRACE_MS - OVER_MS };
        const schedule = new StopSchedule(startedAt, options);
        await drainConnections(server, { getActiveRequestCount: () => 0 }, schedule, clock, new NoLog());
        const elapsedMs = clock.getMonotonicMs() - startedAt;
        const isOver = elapsedMs >= OVER_MS;
        if (elapsedMs > OVER_MS + 50 || elapsedMs < ANNOUNCE_MS || (!isOver && server.countUndelivered() > 0)) {
            throw new Error(`ended after ${elapsedMs} ms with ${server.countUndelivered()} connections`);
        }
        if (!isOver && server.isListening) {
            throw new Error("ended while it accepted connections");
        }
        if (server.endedAt.some(at => at !== undefined && at < ANNOUNCE_MS)) {
            throw new Error("closed a connection while new ones come back to this router");
        }
    };
    await fc.assert(fc.asyncProperty(fc.array(span, { maxLength: 10 }), check), { seed: SEED, numRuns: RUN_COUNT });
    t.pass();
});

void t.test("requests are refused by the clock, also if the timer is late", t => {
    const schedule = new StopSchedule(1_000, { announceMs: 100, gracePeriodMs: 1_000, closingMarginMs: 200 });
    t.equal(schedule.getPhase(1_099), "announcing");
    t.equal(schedule.getClosesInMs(1_040), 60);
    t.equal(schedule.getPhase(1_100), "closing");
    t.equal(schedule.getClosesInMs(1_500), 0);
    t.equal(schedule.getPhase(1_799), "closing");
    t.equal(schedule.getPhase(1_800), "over");
    t.end();
});
