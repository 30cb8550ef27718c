/**
 * Requests that time out while waiting for a connection to an upstream must be refused as not run (never 502 or 504), so that
 * callers of unsafe requests may retry.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";

const REQUESTS = 8;
/** Longer than the route's timeout. */
const RESPONSE_DELAY_MS = 5_000;
const NOT_RUN = [408, 421, 429, 503];
const fleet = new SignallingFleet({
    network: 99,
    routers: ["r1"],
    engines: ["e1"],
    path: "/c/x",
    maxConnections: 4,
});
const slow = fleet.engines[0]!;

void t.test("requests that were never sent are refused as not run", async t => {
    t.teardown(() => fleet.close());
    await fleet.open();
    await fleet.startEngine(slow);
    slow.responseDelayMs = RESPONSE_DELAY_MS;
    const before = slow.arrivals.length;
    const answers = await Promise.all(Array.from({ length: REQUESTS }, () => fleet.callers.call("r1")));
    const sent = slow.arrivals.length - before;
    const notRun = answers.filter(({ status }) => NOT_RUN.includes(status)).length;
    t.equal(notRun, REQUESTS - sent, `${sent} were sent; ${answers.map(({ status }) => status).join(" ")}`);
});
