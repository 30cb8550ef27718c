/** Guards against repeats of all routers that add up past the limit they share, however many routers there are and start. */
import fc from "fast-check";
import t from "tap";
import { createControllerSettings, createRouterSettings } from "../../platform/roleSettings.js";
import { RequestRecorder } from "../../src/daemons/directRouter/requestRecorder.js";
import { type RepeatClaim, ServiceRepeats } from "../../src/daemons/directRouter/serviceRepeats.js";
import { PermitBook, type PermitBookOptions, type ReservedPermits } from "../../src/domain/repeatPermits.js";
import type { PermitReservation } from "../../src/domain/repeatPermitStore.js";
import type { DirectUpstreams } from "../../src/ports/directUpstream.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import type { PermitClaim } from "../../src/protocol/repeatMethods.js";
import { FakeClock } from "../tools/fakes.js";
import { createTestBoxSettings } from "../tools/testBoxSettings.js";
import { UpstreamAudit } from "../tools/upstreamAudit.js";

const SERVICE = "s";
/** What the platform allows; small, so that few repeats exceed it. */
const LIMITS = { retryRatio: 0.5, retrySlack: 9, windowMs: 10_000 };
/** `SEED` and `RUNS` in the environment play other orders, or more. */
const SEED = Number(process.env["SEED"] ?? 1);
const RUNS = Number(process.env["RUNS"] ?? 400);
const MAX_STEPS = 60;
const MAX_ROUTERS = 300;

process.env["LOOMWINCH_FLEET_SECRET"] = "test-fleet-secret";
const boxSettings = createTestBoxSettings(`
    [bounds]
    retry_ratio = ${LIMITS.retryRatio}
    retry_slack = ${LIMITS.retrySlack}
`);
const { repeats } = createRouterSettings(boxSettings, {} as DirectUpstreams).router;
const { repeatPermits } = createControllerSettings(boxSettings);
/** Without the reserve that the settings leave, because nothing is late here. */
const REPEAT_OPTIONS = { ...repeats, ratio: LIMITS.retryRatio };
const BOOK_OPTIONS: PermitBookOptions = { ...repeatPermits, maxPermits: LIMITS.retrySlack };
/** Pause between two rounds of a storm, in which answers of controllers arrive. */
const ROUND_MS = 10;

/** One step of a play: what happens at `count` routers, beginning with `router`, after a pause. */
interface Step {
    readonly pauseMs: number;
    /** `storm`: each router sends all repeats that it may, in several rounds. */
    readonly kind: "request" | "storm" | "start" | "elect";
    readonly router: number;
    readonly count: number;
    /** How often it happens at each, or rounds. */
    readonly times: number;
    /** Repeats that are left to others. */
    readonly keptCount: number;
    /** How long repeats wait for a connection, and controllers' answers are on their way. */
    readonly delayMs: number;
}

const MAX_DELAY_MS = 3_000;
const delayArbitrary = fc.oneof(fc.constant(0), fc.integer({ min: 0, max: MAX_DELAY_MS }));
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    pauseMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 0, max: 6_000 })),
    kind: fc.constantFrom("request", "request", "storm", "storm", "storm", "start", "elect"),
    router: fc.nat({ max: MAX_ROUTERS }),
    count: fc.oneof(fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1, max: MAX_ROUTERS })),
    times: fc.integer({ min: 1, max: 12 }),
    keptCount: fc.constantFrom(0, 0, 1),
    delayMs: delayArbitrary,
});

const playArbitrary = fc.record({
    routers: fc.oneof(fc.integer({ min: 3, max: 12 }), fc.integer({ min: 3, max: MAX_ROUTERS })),
    steps: fc.array(stepArbitrary, { minLength: 1, maxLength: MAX_STEPS, size: "max" }),
});

/** Runs what is due as the clock advances. */
class Timeline {
    readonly clock = new FakeClock();
    private due: { readonly at: number; readonly run: () => void; }[] = [];

    schedule(delayMs: number, run: () => void): void {
        this.due.push({ at: this.clock.getMonotonicMs() + delayMs, run });
    }

    async advance(ms: number): Promise<void> {
        const until = this.clock.getMonotonicMs() + ms;
        await this.settle();
        for (;;) {
            const next = this.due.filter(({ at }) => at <= until).sort((a, b) => a.at - b.at)[0];
            if (next === undefined) {
                break;
            }
            this.due.splice(this.due.indexOf(next), 1);
            this.clock.advance(Math.max(0, next.at - this.clock.getMonotonicMs()));
            next.run();
            await this.settle();
        }
        this.clock.advance(Math.max(0, until - this.clock.getMonotonicMs()));
    }

    /** Resolves when the calls in progress have gone as far as they can. */
    private settle(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}

/** The controllers, as routers reach them: a leader, and the one before it, which may not know that it was replaced. */
class ControllersModel extends PeerNetwork {
    answerDelayMs = 0;
    /** With the time at which each controller has learned of them. */
    private recorded: readonly (PermitReservation & ReservedPermits)[] = [];
    private leader: PermitBook;
    private formerLeader: PermitBook;
    private callCount = 0;
    private lastIndex = 0;

    constructor(private readonly timeline: Timeline) {
        super();
        this.leader = this.createBook();
        this.formerLeader = this.leader;
    }

    elect(): void {
        this.formerLeader = this.leader;
        this.leader = this.createBook();
    }

    /** Permits are recorded, and the answer is sent, some time after the claim. */
    override call<P, R>(_address: string, _method: PeerMethod<P, R>, params: P): Promise<R> {
        const { service, count } = params as PermitClaim;
        this.callCount += 1;
        const book = this.callCount % 8 === 0 ? this.formerLeader : this.leader;
        const now = this.timeline.clock.getMonotonicMs();
        const counted = book.tryReserve(service, count, now);
        const answer = {
            permits: counted?.permits ?? 0,
            lifetimeMs: BOOK_OPTIONS.lifetimeMs,
            retryAfterMs: book.getRetryAfterMs(service, now),
        };
        return new Promise((resolve, reject) => {
            this.timeline.schedule(this.answerDelayMs / 2, () => {
                if (book !== this.leader) {
                    reject(new Error("another controller leads"));
                    return;
                }
                if (counted !== undefined) {
                    this.lastIndex += 1;
                    counted.index = this.lastIndex;
                    const at = this.timeline.clock.getMonotonicMs();
                    this.recorded = [...this.recorded, { ...counted, index: this.lastIndex, at }];
                }
                this.timeline.schedule(this.answerDelayMs / 2, () => resolve(answer as R));
            });
        });
    }

    override connect(): Promise<Peer> {
        return Promise.reject(new Error("not used"));
    }

    /** The leader removes what counts no longer. */
    release(): void {
        const upTo = this.leader.evictExpired(this.timeline.clock.getMonotonicMs()) ?? 0;
        this.recorded = this.recorded.filter(({ index }) => index > upTo);
    }

    private createBook(): PermitBook {
        return new PermitBook(BOOK_OPTIONS, this.recorded);
    }
}

class FleetModel {
    readonly audit = new UpstreamAudit(LIMITS);
    private readonly timeline = new Timeline();
    private readonly controllers = new ControllersModel(this.timeline);
    private readonly routers: ServiceRepeats[];
    private lastId = 0;

    constructor(routerCount: number) {
        this.routers = Array.from({ length: routerCount }, () => this.startRouter());
    }

    async play(step: Step): Promise<void> {
        await this.timeline.advance(step.pauseMs);
        this.controllers.release();
        const { length } = this.routers;
        const indexes = Array.from({ length: Math.min(step.count, length) }, (_, i) => (step.router + i) % length);
        switch (step.kind) {
            case "elect":
                this.controllers.elect();
                return;
            case "start":
                indexes.forEach(index => this.routers[index] = this.startRouter());
                return;
            case "request":
                indexes.forEach(index => this.recordRequests(this.routers[index]!, step.times));
                return;
            case "storm":
                await this.playStorm(indexes.map(index => this.routers[index]!), step);
        }
    }

    private async playStorm(routers: readonly ServiceRepeats[], { times, keptCount, delayMs }: Step): Promise<void> {
        this.controllers.answerDelayMs = Math.max(0, delayMs - MAX_DELAY_MS / 2);
        for (let round = 0; round < times; round++) {
            for (const router of routers) {
                this.sendAllAllowed(router, keptCount, delayMs);
            }
            await this.timeline.advance(ROUND_MS);
        }
    }

    private sendAllAllowed(router: ServiceRepeats, keptCount: number, delayMs: number): void {
        for (;;) {
            const claim = router.tryClaim(SERVICE, keptCount);
            if (claim === undefined) {
                return;
            }
            if (delayMs === 0) {
                this.sendRepeat(claim);
            }
            else {
                this.timeline.schedule(delayMs, () => this.sendRepeat(claim));
            }
        }
    }

    /** Plays until nothing is under way. */
    async finish(): Promise<void> {
        await this.timeline.advance(LIMITS.windowMs);
    }

    private recordRequests(router: ServiceRepeats, count: number): void {
        const at = this.timeline.clock.getMonotonicMs();
        for (let i = 0; i < count; i++) {
            router.recordRequest(SERVICE);
            this.lastId += 1;
            const id = `q${this.lastId}`;
            this.audit.recordSent({ id, service: SERVICE, router: "", at, deadlineMs: 1_000, maxAttempts: 1 });
        }
    }

    /** Two arrivals of one id: the second one is a repeat. */
    private sendRepeat(claim: RepeatClaim): void {
        const at = this.timeline.clock.getMonotonicMs();
        if (!claim.trySend(at)) {
            return;
        }
        this.lastId += 1;
        const arrival = { id: `r${this.lastId}`, service: SERVICE, upstream: "u", at, deadlineMs: 1_000 };
        for (let i = 0; i < 2; i++) {
            this.audit.recordArrival({ ...arrival, isNotRun: false, isCutOff: false });
        }
    }

    private startRouter(): ServiceRepeats {
        const recorder = new RequestRecorder(new NoLog(), new NoMetrics());
        const { clock } = this.timeline;
        const log = new NoLog();
        return new ServiceRepeats(REPEAT_OPTIONS, recorder, this.controllers, clock, log, () => 0, () => ["c1"]);
    }
}

async function isLimitKept(routers: number, steps: readonly Step[]): Promise<boolean> {
    const fleet = new FleetModel(routers);
    for (const step of steps) {
        await fleet.play(step);
    }
    await fleet.finish();
    const { repeats, allowed } = fleet.audit.findRepeatPeak(SERVICE);
    return repeats <= allowed;
}

void t.test("repeats add up past the limit of all routers: any orders of requests, repeats and starts", async t => {
    await fc.assert(
        fc.asyncProperty(playArbitrary, ({ routers, steps }) => isLimitKept(routers, steps)),
        { numRuns: RUNS, seed: SEED },
    );
    t.end();
});

void t.test("repeats add up past the limit of all routers: each one knows all the others, none starts", async t => {
    await fc.assert(
        fc.asyncProperty(playArbitrary, ({ routers, steps }) => {
            return isLimitKept(routers, steps.filter(({ kind }) => kind !== "start" && kind !== "elect"));
        }),
        { numRuns: RUNS, seed: SEED },
    );
    t.end();
});
