/** Guards against repeats after status 421 that go beyond what the fleet may send, and against ones that use up retries. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { RepeatBudget } from "../../src/domain/repeatBudget.js";
import { RetryBudget } from "../../src/domain/retryBudget.js";

const WINDOW_MS = 10_000;
/** The platform's bound on arrivals at a service beyond the first of each request, over all routers. */
const RATIO = 0.2;
const SLACK = 20;

void t.test("a router without other requests may repeat as often as its slack says, and again ten seconds later", t => {
    const budget = new RepeatBudget(0.04, 2);
    t.same([0, 1, 2].map(at => budget.trySpend(at)), [true, true, false]);
    t.equal(budget.trySpend(WINDOW_MS - 1), false);
    t.equal(budget.trySpend(WINDOW_MS + 1_000), true);
    t.end();
});

void t.test("requests of the last ten seconds add up to repeats, those before do not", t => {
    const budget = new RepeatBudget(0.04, 0.5);
    const recordRequests = (count: number, at: number): void => {
        for (let i = 0; i < count; i++) {
            budget.recordRequest(at);
        }
    };
    recordRequests(12, 0);
    t.equal(budget.trySpend(1), false, "0.04 x 12 + 0.5 is less than one");
    recordRequests(1, 2);
    t.equal(budget.trySpend(3), true);
    t.equal(budget.trySpend(4), false);
    t.equal(budget.trySpend(WINDOW_MS + 1_000), false, "the requests have left the window");
    t.end();
});

void t.test("all routers together stay within the bound of the platform while every second answer is a 421", t => {
    for (const [routers, requestsPerSecond] of [[4, 8], [10, 40], [26, 330], [28, 330]] as const) {
        const generator = xoroshiro128plus(routers);
        const random = (): number => (generator.next() >>> 0) / 2 ** 32;
        // The settings of `createRouterSettings`.
        const repeats = Array.from({ length: routers }, () => new RepeatBudget(RATIO * 0.2, SLACK * 0.4 / routers));
        const retries = Array.from(
            { length: routers },
            () => new RetryBudget(RATIO * 0.75, Math.max(1, SLACK * 0.5 / routers)),
        );
        const requestTimes: number[] = [];
        const extraTimes: number[] = [];
        for (let at = 0; at < 6 * WINDOW_MS; at += 1_000 / requestsPerSecond) {
            const router = Math.floor(random() * routers);
            requestTimes.push(at);
            repeats[router]!.recordRequest(at);
            retries[router]!.recordRequest();
            // A replacement of many upstreams begins after a quiet time, in which unused retries are saved.
            if (at > 2 * WINDOW_MS) {
                if (random() < 0.5 && repeats[router]!.trySpend(at)) {
                    extraTimes.push(at);
                }
                if (random() < 0.5 && retries[router]!.trySpend()) {
                    extraTimes.push(at);
                }
            }
        }
        const countFrom = (times: readonly number[], from: number): number =>
            times.filter(at => at >= from && at < from + WINDOW_MS).length;
        const excess = extraTimes.map(from => countFrom(extraTimes, from) - RATIO * countFrom(requestTimes, from));
        t.ok(extraTimes.length > 0);
        t.ok(Math.max(...excess) <= SLACK, `${routers} routers: ${Math.max(...excess)}`);
    }
    t.end();
});

void t.test("repeats beyond their own bound leave a retry for requests that an upstream rejects", t => {
    const retries = new RetryBudget(0.15, 2.5);
    t.same([retries.trySpendSurplus(), retries.trySpendSurplus(), retries.trySpend()], [true, false, true]);
    t.end();
});
