/** Signals and errors of a process at any time of its life; it is to end by itself with the right exit code. */
import t from "tap";
import { ProcessFleet } from "../tools/processFleet.js";
import { raiseWhileListening, raiseWhileLoading, throwAtSignal } from "../tools/signalPreloads.js";
import { waitUntil } from "../tools/waiting.js";

const fleet = new ProcessFleet({ network: 118, controllers: 3, routers: 0, retryRatio: 0.2, retrySlack: 20 });
t.before(() => fleet.open());
t.teardown(() => fleet.close());

for (const role of ["c", "r"]) {
    void t.test(`${role}: SIGTERM while the program is loaded ends the process with 0 before anything listens`, async t => {
        const box = `${role}1`;
        fleet.startBox(box, raiseWhileLoading);
        t.equal((await fleet.waitEnd(box)).code, 0);
        t.same(fleet.listLogLines(box, /_started/), []);
    });

    void t.test(`${role}: SIGTERM during the start does not kill the process: it stops as planned with 0`, async t => {
        const box = `${role}2`;
        fleet.startBox(box, raiseWhileListening("SIGTERM"));
        t.equal((await fleet.waitEnd(box)).code, 0);
        await waitUntil(
            "the log",
            () => fleet.listLogLines(box, /process_ends status=0 cause=stopSignal/).length === 1,
        );
        t.equal(fleet.listLogLines(box, /stop_begins/).length, 1);
    });

    void t.test(`${role}: SIGHUP during the start does not kill the process: settings are read again once it runs`, async t => {
        const box = `${role}3`;
        fleet.startBox(box, raiseWhileListening("SIGHUP"));
        await waitUntil("the settings", () => fleet.listLogLines(box, /settings_reloaded/).length > 0);
        fleet.signal(box, "SIGTERM");
        t.equal((await fleet.waitEnd(box)).code, 0);
    });

    void t.test(`${role}: an uncaught error is logged with the end of the process, with status 1`, async t => {
        const box = `${role}4`;
        fleet.startBox(box, throwAtSignal);
        await waitUntil("the start", () => fleet.listLogLines(box, /_started/).length > 0);
        fleet.signal(box, "SIGUSR2");
        t.equal((await fleet.waitEnd(box)).code, 1);
        await waitUntil(
            "the log",
            () => fleet.listLogLines(box, /process_ends status=1 cause=uncaughtError/).length === 1,
        );
        t.match(fleet.listLogLines(box, /process_failed/)[0], /level=error .*Error: injected/);
    });
}
