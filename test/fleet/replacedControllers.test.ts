/**
 * Guards against a removed controller that still counts as a voter: from `catch_up_s` after the start of its successor on, two disks may be
 * lost, whatever else happens to controllers meanwhile. Separate processes with the CPU time of the deployment; each scene has a fleet of its own.
 */
import t from "tap";
import { CATCH_UP_MS, playReplacement } from "../tools/replacementPlay.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 220;
/** The leader is killed for this long. */
const RESTART_MS = 500;
const PLANNED_LEAD_MS = 6_000;

void t.test("two disks may be lost after the leader was removed by SIGTERM and replaced", t =>
    playReplacement(t, NETWORK, async play => {
        const successor = await play.replace(play.fleet.findLeader(), "SIGTERM");
        await wait(CATCH_UP_MS);
        const first = play.findFollower(successor);
        await play.checkLoss(t, [first, play.findFollower(successor, first)]);
    }));

void t.test("the disks of a successor and of another controller may be lost after a follower was removed by SIGKILL", t =>
    playReplacement(t, NETWORK, async play => {
        const successor = await play.replace(play.findFollower(), "SIGKILL");
        await wait(CATCH_UP_MS);
        await play.checkLoss(t, [successor, play.fleet.findLeader()]);
    }));

void t.test("two disks may be lost right after the end of a controller whose successor was started before it", t =>
    playReplacement(t, NETWORK, async play => {
        const removed = play.findFollower();
        const successor = await play.addController();
        await wait(PLANNED_LEAD_MS);
        await play.fleet.removeController(removed, "SIGTERM");
        await play.checkLoss(t, [play.fleet.findLeader(), play.findFollower(successor)]);
    }));

void t.test("two disks may be lost after the leader was killed in the middle of a replacement", t =>
    playReplacement(t, NETWORK, async play => {
        const successor = await play.replace(play.findFollower(), "SIGTERM");
        await wait(CATCH_UP_MS / 2);
        const leader = play.fleet.findLeader();
        await play.fleet.killBoxes([leader]);
        await wait(RESTART_MS);
        play.fleet.startBox(leader);
        await wait(CATCH_UP_MS);
        await play.checkLoss(t, [leader, play.findFollower(successor, leader)]);
    }));

void t.test("two disks may be lost while the other controllers run on, after a controller was replaced", t =>
    playReplacement(t, NETWORK, async play => {
        const successor = await play.replace(play.findFollower(), "SIGKILL");
        await wait(CATCH_UP_MS);
        const first = play.findFollower(successor);
        await play.checkLostDisks(t, [first, play.findFollower(successor, first)]);
    }));
