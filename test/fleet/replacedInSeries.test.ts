/**
 * Guards against removed controllers that still count as voters after several replacements, a kill of all controllers, or a pause of one that
 * stays: from `catch_up_s` after the last of it on, two disks may be lost. Separate processes; each scene has a fleet of its own.
 */
import t from "tap";
import { CATCH_UP_MS, playReplacement } from "../tools/replacementPlay.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 221;
const PLANNED_LEAD_MS = 1_000;
const KILLED_MS = 800;
const PAUSE_MS = 3_000;
/** Longer than any time after which a silent replica is removed. */
const LONG_PAUSE_MS = 14_000;

void t.test("two disks may be lost after two controllers were replaced in turn", t =>
    playReplacement(t, NETWORK, async play => {
        await play.replace(play.findFollower(), "SIGKILL");
        await wait(CATCH_UP_MS);
        const second = await play.replace(play.fleet.findLeader(), "SIGTERM");
        await wait(CATCH_UP_MS);
        const first = play.findFollower(second);
        await play.checkLoss(t, [first, play.findFollower(second, first)]);
    }));

void t.test("two disks may be lost after all controllers were killed following a planned replacement", t =>
    playReplacement(t, NETWORK, async play => {
        const removed = play.findFollower();
        const successor = await play.addController();
        await wait(PLANNED_LEAD_MS);
        await play.fleet.removeController(removed, "SIGTERM");
        await wait(CATCH_UP_MS);
        const controllers = play.fleet.listControllers();
        await play.fleet.killBoxes(controllers);
        await wait(KILLED_MS);
        controllers.forEach(box => play.fleet.startBox(box));
        await wait(CATCH_UP_MS);
        const first = play.findFollower(successor);
        await play.checkLoss(t, [first, play.findFollower(successor, first)]);
    }));

void t.test("two disks may be lost after a controller was paused while another one was replaced", t =>
    playReplacement(t, NETWORK, async play => {
        const paused = play.findFollower();
        const removed = play.findFollower(paused);
        play.fleet.signal(paused, "SIGSTOP");
        const successor = await play.replace(removed, "SIGKILL");
        await wait(PAUSE_MS);
        play.fleet.signal(paused, "SIGCONT");
        await wait(CATCH_UP_MS);
        await play.checkLoss(t, [paused, play.findFollower(successor, paused)]);
    }));

void t.test("a controller that was paused until it was removed votes again after it goes on", t =>
    playReplacement(t, NETWORK, async play => {
        const paused = play.findFollower();
        await play.addController();
        await wait(CATCH_UP_MS);
        play.fleet.signal(paused, "SIGSTOP");
        await wait(LONG_PAUSE_MS);
        play.fleet.signal(paused, "SIGCONT");
        await wait(CATCH_UP_MS);
        await play.fleet.removeController(play.findFollower(paused), "SIGKILL");
        await wait(CATCH_UP_MS);
        const leader = play.fleet.findLeader();
        t.equal(await play.fleet.readMetric(leader, "log_losses_borne"), 2, "five controllers vote");
        await play.checkLoss(t, [leader, play.findFollower(paused)]);
    }));
