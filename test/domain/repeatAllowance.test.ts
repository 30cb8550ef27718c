/** Guards against repeats beyond what a router's own requests and the permits of all routers allow, and against idle ones. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { RepeatAllowance } from "../../src/domain/repeatAllowance.js";
import { HeldPermits, PermitBook } from "../../src/domain/repeatPermits.js";
import { RepeatPermitStore } from "../../src/domain/repeatPermitStore.js";
import { UpstreamAudit } from "../tools/upstreamAudit.js";

const WINDOW_MS = 10_000;
const BUCKET_MS = 250;
const LIFETIME_MS = 2_000;
const RETENTION_MS = WINDOW_MS + LIFETIME_MS;
const BOOK_OPTIONS = { maxPermits: 6, windowMs: WINDOW_MS, lifetimeMs: LIFETIME_MS };

function recordRequests(allowance: RepeatAllowance, count: number, at: number): void {
    for (let i = 0; i < count; i++) {
        allowance.recordRequest(at);
    }
}

/** Sends all repeats that are allowed at once; returns how many. */
function sendAll(allowance: RepeatAllowance, at: number): number {
    let count = 0;
    while (allowance.tryClaim(at, 0) && allowance.trySend(at)) {
        count += 1;
    }
    return count;
}

void t.test("a router that has just started may repeat nothing", t => {
    const allowance = new RepeatAllowance({ windowMs: WINDOW_MS, ratio: 0.2 });
    t.equal(sendAll(allowance, 5_000), 0);
    recordRequests(allowance, 9, 5_000);
    t.equal(sendAll(allowance, 5_001), 0, "0.1 x 9 is less than one");
    recordRequests(allowance, 1, 5_002);
    t.equal(sendAll(allowance, 5_003), 1);
    t.end();
});

void t.test("requests allow repeats for two windows, and no longer", t => {
    const allowance = new RepeatAllowance({ windowMs: WINDOW_MS, ratio: 0.2 });
    recordRequests(allowance, 100, 0);
    t.equal(sendAll(allowance, WINDOW_MS - BUCKET_MS - 1), 10);
    t.equal(sendAll(allowance, 2 * WINDOW_MS), 0, "the requests have left the windows");
    t.end();
});

void t.test("a steady router may repeat a fraction of its requests, all the time and half of a window's at once", t => {
    const allowance = new RepeatAllowance({ windowMs: WINDOW_MS, ratio: 0.2 });
    let sent = 0;
    for (let at = 0; at < 6 * WINDOW_MS; at += 100) {
        allowance.recordRequest(at);
        if (at === 3 * WINDOW_MS) {
            t.equal(sendAll(allowance, at), 9, "of 20 in a window");
        }
        if (at >= 4 * WINDOW_MS) {
            sent += sendAll(allowance, at);
        }
    }
    t.ok(sent > 0.9 * 0.2 * 200, `${sent} of 40 repeats of 200 requests`);
    t.end();
});

void t.test("claims that wait count, and are not sent when the requests that allowed them have left the windows", t => {
    const allowance = new RepeatAllowance({ windowMs: WINDOW_MS, ratio: 0.2 });
    recordRequests(allowance, 20, 0);
    t.same([0, 1, 2].map(at => allowance.tryClaim(at, 0)), [true, true, false]);
    t.equal(allowance.trySend(3), true);
    t.equal(allowance.trySend(3 * WINDOW_MS), false);
    recordRequests(allowance, 20, 3 * WINDOW_MS);
    t.equal(sendAll(allowance, 3 * WINDOW_MS + 1), 2, "neither claim is left");
    t.end();
});

void t.test("repeats past replaced upstreams leave one for requests that an upstream rejects", t => {
    const allowance = new RepeatAllowance({ windowMs: WINDOW_MS, ratio: 0.2 });
    recordRequests(allowance, 20, 0);
    t.same([allowance.tryClaim(1, 1), allowance.tryClaim(2, 1), allowance.tryClaim(3, 0)], [true, false, true]);
    t.end();
});

void t.test("nothing is repeated after a time that the clock missed", t => {
    const allowance = new RepeatAllowance({ windowMs: WINDOW_MS, ratio: 0.2 });
    recordRequests(allowance, 100, 0);
    allowance.reset();
    t.equal(sendAll(allowance, 1), 0);
    t.end();
});

void t.test("a new leader counts the permits of earlier ones, which may be used until they are void", t => {
    const book = new PermitBook(BOOK_OPTIONS, [{ index: 7, service: "s", permits: 5, at: 0 }]);
    t.equal(book.tryReserve("s", 3, 0)?.permits, 1);
    t.equal(book.tryReserve("s", 1, RETENTION_MS - 1), undefined);
    t.equal(book.tryReserve("other", 3, 0)?.permits, 3);
    t.equal(book.tryReserve("s", 6, RETENTION_MS)?.permits, 6);
    t.end();
});

void t.test("permits count until those used have left the window, and are then removed from the log", t => {
    const book = new PermitBook(BOOK_OPTIONS, []);
    t.equal(book.evictExpired(0), undefined);
    const counted = book.tryReserve("s", 4, 0)!;
    counted.index = 9;
    t.equal(book.tryReserve("s", 4, 100)?.permits, 2);
    t.equal(book.tryReserve("s", 1, 200), undefined);
    t.equal(book.getRetryAfterMs("s", 200), RETENTION_MS - 200);
    t.equal(book.evictExpired(RETENTION_MS - 1), undefined);
    t.equal(book.evictExpired(RETENTION_MS), 9);
    t.equal(book.evictExpired(RETENTION_MS + 100), undefined, "not known to be recorded");
    t.equal(book.tryReserve("s", 100, RETENTION_MS + 100)?.permits, 6);
    t.end();
});

void t.test("permits are recorded only in the term of the leader that counted them", t => {
    const store = new RepeatPermitStore();
    const command = { type: "reserveRepeatPermits", service: "s", permits: 2, term: 3 } as const;
    t.equal(store.applyReserve(command, 5, 4).isAccepted, false);
    t.equal(store.applyReserve(command, 6, 3).isAccepted, true);
    t.equal(store.applyReserve({ ...command, service: "other" }, 8, 3).isAccepted, true);
    const copy = new RepeatPermitStore();
    copy.loadSnapshot(store.createSnapshot());
    copy.applyRelease({ type: "releaseRepeatPermits", upTo: 6 });
    t.same(copy.list(), [{ index: 8, service: "other", permits: 2 }]);
    t.equal(store.list().length, 2);
    t.end();
});

void t.test("a permit is void after its lifetime, which begins when it was asked for", t => {
    const held = new HeldPermits();
    held.receive({ permits: 2, lifetimeMs: LIFETIME_MS, retryAfterMs: 0 }, 1_000);
    t.equal(held.tryDraw(1_000 + LIFETIME_MS - 1), 1_000 + LIFETIME_MS);
    t.equal(held.tryDraw(1_000 + LIFETIME_MS), undefined);
    t.end();
});

void t.test("all routers together stay within the bound of the platform while every second answer is a 421", t => {
    const limits = { retryRatio: 0.2, retrySlack: 20, windowMs: WINDOW_MS };
    for (const [routers, requestsPerSecond] of [[4, 8], [10, 40], [26, 330], [28, 330], [300, 60]] as const) {
        const generator = xoroshiro128plus(routers);
        const random = (): number => (generator.next() >>> 0) / 2 ** 32;
        const audit = new UpstreamAudit(limits);
        const book = new PermitBook({ ...BOOK_OPTIONS, maxPermits: limits.retrySlack }, []);
        const allowances = Array.from(
            { length: routers },
            () => new RepeatAllowance({ windowMs: WINDOW_MS, ratio: limits.retryRatio }),
        );
        for (let at = 0, i = 0; at < 6 * WINDOW_MS; at += 1_000 / requestsPerSecond, i++) {
            const allowance = allowances[Math.floor(random() * routers)]!;
            const arrival = { service: "s", upstream: "u", deadlineMs: 0, at, isNotRun: true, isCutOff: false };
            audit.recordSent({ id: `q${i}`, service: "s", router: "r", at, deadlineMs: 0, maxAttempts: 1 });
            audit.recordArrival({ ...arrival, id: `q${i}` });
            allowance.recordRequest(at);
            // A replacement of many upstreams begins after a quiet time.
            if (at > 2 * WINDOW_MS && random() < 0.5) {
                const isAllowed = allowance.tryClaim(at, 1)
                    ? allowance.trySend(at)
                    : book.tryReserve("s", 1, at) !== undefined;
                if (isAllowed) {
                    audit.recordArrival({ ...arrival, id: `q${i}` });
                }
            }
        }
        const { repeats, allowed } = audit.findRepeatPeak("s");
        t.ok(repeats > 0.5 * limits.retrySlack, `${routers} routers: ${repeats} of ${allowed} are used`);
        t.ok(repeats <= allowed, `${routers} routers: ${repeats} of ${allowed}`);
    }
    t.end();
});
