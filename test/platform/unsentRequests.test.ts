/**
 * Requests that wait for a connection to an upstream until their callers' time is up.
 *
 * What users see: 502 or 504, which promise nothing, for requests of which nothing was ever sent; who may send a request only
 * once cannot send it again.
 *
 * The cause: an attempt that was given up counted as one that may have run from the moment it was placed, and its wait for a
 * connection as silence of the upstream. What showed it: 504 for requests that had never reached the upstream.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";

const REQUESTS = 8;
/** Longer than callers wait. Milliseconds. */
const WORK_MS = 5_000;
const NOT_RUN = [408, 421, 429, 503];
const world = new SignallingFleet({
    network: 99,
    routers: ["r1"],
    engines: ["e1"],
    path: "/c/x",
    maxConnections: 4,
});
const slow = world.engines[0]!;

void t.test("requests of which nothing was sent are refused as not run", async t => {
    t.teardown(() => world.close());
    await world.open();
    await world.startEngine(slow);
    slow.workMs = WORK_MS;
    const before = slow.arrivals.length;
    const answers = await Promise.all(Array.from({ length: REQUESTS }, () => world.callers.call("r1")));
    const sent = slow.arrivals.length - before;
    const notRun = answers.filter(({ status }) => NOT_RUN.includes(status)).length;
    t.equal(notRun, REQUESTS - sent, `${sent} were sent; ${answers.map(({ status }) => status).join(" ")}`);
});
