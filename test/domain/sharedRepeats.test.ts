/** Guards against repeats of all routers that add up past the limit they share, however many routers there are and start. */
import fc from "fast-check";
import t from "tap";
import { parseBoxSettings } from "../../platform/boxSettings.js";
import { createRouterSettings } from "../../platform/roleSettings.js";
import { RequestRecorder } from "../../src/daemons/directRouter/requestRecorder.js";
import { ServiceBudgets } from "../../src/daemons/directRouter/serviceBudgets.js";
import type { DirectUpstreams } from "../../src/ports/directUpstream.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { FakeClock } from "../tools/fakes.js";
import { UpstreamAudit } from "../tools/upstreamAudit.js";

const SERVICE = "s";
const LIMITS = { retryRatio: 0.2, retrySlack: 52, windowMs: 10_000 };
/** `SEED` in the environment plays other orders. */
const SEED = Number(process.env["SEED"] ?? 1);
const RUNS = 150;
const MAX_STEPS = 80;
const MAX_ROUTERS = 300;

process.env["LOOMWINCH_FLEET_SECRET"] = "test-fleet-secret";
const { router: options } = createRouterSettings(
    parseBoxSettings(`
        node_name = "r1"
        ip = "127.0.0.1"
        zone = "z"
        port_range = [7340, 7345]
        seeds = []
        [listen]
        [bounds]
        retry_ratio = ${LIMITS.retryRatio}
        retry_slack = ${LIMITS.retrySlack}
    `),
    {} as DirectUpstreams,
);

/** One step of a play: what happens at `count` routers, beginning with `router`, after a pause. */
interface Step {
    readonly pauseMs: number;
    readonly kind: "request" | "retry" | "replaced" | "start";
    readonly router: number;
    readonly count: number;
    /** How often it happens at each. */
    readonly times: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    pauseMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 0, max: 6_000 })),
    kind: fc.constantFrom("request", "request", "retry", "retry", "replaced", "start"),
    router: fc.nat({ max: MAX_ROUTERS }),
    count: fc.oneof(fc.constant(1), fc.integer({ min: 1, max: MAX_ROUTERS })),
    times: fc.integer({ min: 1, max: 12 }),
});

const playArbitrary = fc.record({
    routers: fc.oneof(fc.integer({ min: 3, max: 12 }), fc.integer({ min: 3, max: MAX_ROUTERS })),
    /** Routers that each router knows of, itself included, as a part of all. */
    knownFraction: fc.double({ min: 0, max: 1, noNaN: true }),
    steps: fc.array(stepArbitrary, { minLength: 1, maxLength: MAX_STEPS }),
});

class FleetModel {
    readonly audit = new UpstreamAudit(LIMITS);
    private readonly clock = new FakeClock();
    private readonly routers: ServiceBudgets[];
    private lastId = 0;

    constructor(routerCount: number, private readonly knownCount: number) {
        this.routers = Array.from({ length: routerCount }, () => this.startRouter());
    }

    play({ pauseMs, kind, router, count, times }: Step): void {
        this.clock.advance(pauseMs);
        for (let i = 0; i < Math.min(count, this.routers.length); i++) {
            const index = (router + i) % this.routers.length;
            if (kind === "start") {
                this.routers[index] = this.startRouter();
                continue;
            }
            for (let time = 0; time < times; time++) {
                this.playAt(this.routers[index]!, kind);
            }
        }
    }

    private playAt(router: ServiceBudgets, kind: "request" | "retry" | "replaced"): void {
        if (kind === "request") {
            this.recordRequest(router);
        }
        else if (kind === "retry" ? router.tryClaimRetry(SERVICE) : router.tryClaimRepeat(SERVICE)) {
            this.recordRepeat();
        }
    }

    private recordRequest(router: ServiceBudgets): void {
        router.recordRequest(SERVICE);
        this.lastId += 1;
        const id = `q${this.lastId}`;
        const at = this.clock.getMonotonicMs();
        this.audit.recordSent({ id, service: SERVICE, router: "", at, deadlineMs: 1_000, maxAttempts: 1 });
    }

    /** Two arrivals of one id: the second one is a repeat. */
    private recordRepeat(): void {
        this.lastId += 1;
        const id = `r${this.lastId}`;
        const at = this.clock.getMonotonicMs();
        for (let i = 0; i < 2; i++) {
            this.audit.recordArrival({
                id,
                service: SERVICE,
                upstream: "u",
                at,
                deadlineMs: 1_000,
                isNotRun: false,
                isCutOff: false,
            });
        }
    }

    private startRouter(): ServiceBudgets {
        const recorder = new RequestRecorder(new NoLog(), new NoMetrics());
        const getRouterCount = (): number => Math.max(this.knownCount, options.assumedRouterCount);
        return new ServiceBudgets(options, getRouterCount, recorder, this.clock);
    }
}

void t.test("repeats add up past the limit of all routers: any orders of requests, repeats and starts", t => {
    fc.assert(
        fc.property(playArbitrary, ({ routers, knownFraction, steps }) => {
            const fleet = new FleetModel(routers, Math.max(1, Math.round(routers * knownFraction)));
            steps.forEach(step => fleet.play(step));
            const { repeats, allowed } = fleet.audit.findRepeatPeak(SERVICE);
            return repeats <= allowed;
        }),
        { numRuns: RUNS, seed: SEED },
    );
    t.end();
});

void t.test("repeats add up past the limit of all routers: each one knows all the others, none starts", t => {
    fc.assert(
        fc.property(playArbitrary, ({ routers, steps }) => {
            const fleet = new FleetModel(routers, routers);
            steps.filter(({ kind }) => kind !== "start").forEach(step => fleet.play(step));
            const { repeats, allowed } = fleet.audit.findRepeatPeak(SERVICE);
            return repeats <= allowed;
        }),
        { numRuns: RUNS, seed: SEED },
    );
    t.end();
});
