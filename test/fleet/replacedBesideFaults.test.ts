/**
 * Guards against removed controllers that still count as voters where replacements overlap each other, a change of the leader or a cut: from
 * `catch_up_s` after the last of it on, two disks may be lost. Separate processes; each scene has a fleet of its own.
 */
import t from "tap";
import { CATCH_UP_MS, playReplacement } from "../tools/replacementPlay.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 222;
const PLANNED_LEAD_MS = 3_000;
const SHORT_GAP_MS = 300;
const CUT_MS = 3_000;
/** Within which the loss of a voter without a signal is noticed and its vote withdrawn. */
const UNANNOUNCED_MS = 3_000;

void t.test("two disks may be lost after the leader was removed by SIGKILL and replaced", t =>
    playReplacement(t, NETWORK, async play => {
        const successor = await play.replace(play.fleet.findLeader(), "SIGKILL");
        await wait(CATCH_UP_MS);
        await play.checkLoss(t, [successor, play.findFollower(successor)]);
    }));

void t.test("two disks may be lost right after the end of a leader whose successor was started before it", t =>
    playReplacement(t, NETWORK, async play => {
        const leader = play.fleet.findLeader();
        await play.addController();
        await wait(PLANNED_LEAD_MS);
        await play.fleet.removeController(leader, "SIGTERM");
        const [first, second] = play.fleet.listControllers();
        await play.checkLoss(t, [first!, second!]);
    }));

void t.test("two disks may be lost seconds after the end without a signal of a controller whose successor was started before it", t =>
    playReplacement(t, NETWORK, async play => {
        const removed = play.findFollower();
        const successor = await play.addController();
        await wait(PLANNED_LEAD_MS);
        await play.fleet.removeController(removed, "SIGKILL");
        await wait(UNANNOUNCED_MS);
        await play.checkLoss(t, [play.fleet.findLeader(), play.findFollower(successor)]);
    }));

void t.test("two disks may be lost after two controllers were replaced at the same time", t =>
    playReplacement(t, NETWORK, async play => {
        const leader = play.fleet.findLeader();
        const follower = play.findFollower();
        const [first] = await Promise.all([
            play.replace(follower, "SIGTERM"),
            wait(SHORT_GAP_MS).then(() => play.replace(leader, "SIGKILL")),
        ]);
        await wait(CATCH_UP_MS);
        await play.checkLoss(t, [first, play.findFollower(first)]);
    }));

void t.test("two disks may be lost after a controller was heard by nobody while another one was replaced", t =>
    playReplacement(t, NETWORK, async play => {
        const cut = play.findFollower();
        const removed = play.findFollower(cut);
        play.fleet.cutFromControllers(cut, "forward");
        const successor = await play.replace(removed, "SIGKILL");
        await wait(CUT_MS);
        play.fleet.healLinks();
        await wait(CATCH_UP_MS);
        await play.checkLoss(t, [cut, play.findFollower(successor, cut)]);
    }, { hasCuttableLinks: true }));
