/**
 * All processes are lost at the same moment and return, as separate processes with the CPU time of small boxes: of all requests sent later
 * than 12 s after the return a quarter or more is served.
 */
import t, { type Test } from "tap";
import { MIN_SERVED_FRACTION, RETURN_MS, ReturningPlay } from "../tools/returningPlay.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 219;
const REQUESTS_PER_S = 40;
const BEFORE_MS = 4_000;
const AFTER_MS = RETURN_MS + 3_000;
const DOWN_MS = 1_000;
const LOSSES = 3;
/** Longer than the time after which a router that gets no answers may commit all that it was granted. */
const LONG_DOWN_MS = 6_000;
/** From one return to the next loss; routers serve again for about half of it. */
const BETWEEN_LOSSES_MS = 5_000;
/** Accounts that are far from their limits, and accounts with twice what engines are asked for in the scene. */
const PREPAID = [60_000_000, 8_000_000];
const CALLERS_PER_ROUTER = 100;
const CALLER_PAUSE_MS = 10_000;
const EXTRA_ROUTES = 350;
const LATE_REPORT_MS = 3_000;

const play = new ReturningPlay({ network: NETWORK, requestsPerS: REQUESTS_PER_S, prepaid: PREPAID });
t.before(() => play.start());
t.teardown(() => play.close());

/** Sends requests for a while and checks that they are served, so that the rule applies to the loss that follows. */
async function checkServedBefore(t: Test): Promise<void> {
    const startedAt = performance.now();
    play.startLoad();
    await wait(BEFORE_MS);
    const { sent, served } = play.count(startedAt, startedAt + BEFORE_MS / 2);
    t.ok(served >= sent * MIN_SERVED_FRACTION, `before the loss ${served} of ${sent} requests are served`);
}

async function checkServedAfter(t: Test, returnedAt: number): Promise<void> {
    await wait(returnedAt + AFTER_MS - performance.now());
    play.stopReturningCallers();
    await play.stopLoad();
    const { sent, served, outcomes } = play.count(returnedAt + RETURN_MS);
    t.comment(`later than ${RETURN_MS} ms: ${JSON.stringify(outcomes)}; engines got ${play.countReceived()} tokens`);
    t.ok(served >= sent * MIN_SERVED_FRACTION, `${served} of ${sent} requests are served`);
    t.notOk(play.hasOverspent(), "no account got more than it has prepaid");
}

// Guards against listen queues that stay full, connections that stay relayed or closed unread, and routers that call themselves ready
// before they have routes, tokens or upstreams.
void t.test("service returns although a hundred callers of each router retry until it listens", async t => {
    await checkServedBefore(t);
    play.startReturningCallers(CALLERS_PER_ROUTER, CALLER_PAUSE_MS);
    await wait(BEFORE_MS / 2);
    const returnedAt = await play.loseAll(DOWN_MS);
    await checkServedAfter(t, returnedAt);
});

// Guards against routers that wait for one controller, for upstreams or for a whole configuration longer than they may.
void t.test("service returns although engines report late to one controller each and two disks are lost", async t => {
    await checkServedBefore(t);
    await play.putNextBundle(EXTRA_ROUTES);
    play.pauseReports();
    const returnedAt = await play.loseAll(DOWN_MS, ["c2", "c4"]);
    await wait(returnedAt + LATE_REPORT_MS - performance.now());
    play.resumeReports();
    await checkServedAfter(t, returnedAt);
});

// Guards against prepaid tokens that count as spent because nobody knows that the routers did not run while everything was down.
void t.test("accounts that are not used up are served after three losses of all processes for seconds", async t => {
    play.setAccountSet(1);
    await checkServedBefore(t);
    for (let loss = 1; loss < LOSSES; loss++) {
        await play.loseAll(LONG_DOWN_MS);
        await wait(BETWEEN_LOSSES_MS);
    }
    const returnedAt = await play.loseAll(LONG_DOWN_MS);
    await checkServedAfter(t, returnedAt);
});
