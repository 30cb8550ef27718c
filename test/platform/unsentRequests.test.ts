/**
 * Requests that wait for a connection to an upstream until their callers' time is up.
 *
 * What users see: 502 or 504, which promise nothing, for requests of which nothing was ever sent; who may send a request only
 * once cannot send it again.
 */
import t from "tap";
import { DirectCallers } from "../tools/directCallers.js";
import { DirectFleet } from "../tools/directFleet.js";
import { SignallingEngine } from "../tools/signallingEngine.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 99;
/** Of all routers to one upstream. */
const CONNECTIONS = 4;
const REQUESTS = 8;
/** Longer than callers wait. Milliseconds. */
const WORK_MS = 5_000;
const NOT_RUN = [408, 421, 429, 503];
const fleet = new DirectFleet(NETWORK);
const callers = new DirectCallers(fleet, "/c/x");
const slow = new SignallingEngine(fleet, "e1", "r11");

void t.test("requests of which nothing was sent are refused as not run", async t => {
    await fleet.open();
    t.teardown(async () => {
        slow.close();
        await fleet.close();
    });
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    const bundle = createWireBundle(1);
    bundle.backends.forEach(backend => backend.max_conns = CONNECTIONS);
    await fleet.putBundle("c1", bundle);
    await fleet.startRouter("r1");
    await slow.start("c1");
    await waitUntil("callers are answered", async () => (await callers.call("r1")).status === 200);
    slow.workMs = WORK_MS;
    const before = slow.arrivals.length;
    const answers = await Promise.all(Array.from({ length: REQUESTS }, () => callers.call("r1")));
    const sent = slow.arrivals.length - before;
    const notRun = answers.filter(({ status }) => NOT_RUN.includes(status)).length;
    t.equal(notRun, REQUESTS - sent, `${sent} were sent; ${answers.map(({ status }) => status).join(" ")}`);
});
