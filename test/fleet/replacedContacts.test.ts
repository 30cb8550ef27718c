/**
 * Guards against processes that go on counting on controllers that were removed for good: routers that find no other ones, or wait
 * for silent ones, and controllers that join by way of them. Separate processes; each scene has a fleet of its own.
 */
import t, { type Test } from "tap";
import { CATCH_UP_MS, playReplacement, type ReplacementPlay } from "../tools/replacementPlay.js";
import { wait, waitUntil } from "../tools/waiting.js";

const NETWORK = 224;
/** Time after its acknowledgement within which a configuration is in force at all routers (`config_ms`). */
const CONFIG_MS = 2_000;
/** Routers poll each second, and members are followed after a poll. */
const FOLLOW_MS = 4_000;
/** A replacement that is not noticed yet. */
const SOON_MS = 100;
const SAMPLE_MS = 10;

/** Starts a successor for each of the three seeds, one after the other. */
async function replaceSeeds(play: ReplacementPlay): Promise<void> {
    for (const box of ["c1", "c2", "c3"]) {
        await play.waitVotes(await play.replace(box, "SIGKILL"));
    }
}

/** Puts a configuration, and checks that all routers apply it in time. */
async function checkConfiguration(t: Test, play: ReplacementPlay, when: string): Promise<void> {
    const revision = await play.acknowledge();
    const acknowledgedAt = performance.now();
    const isInForce = (router: string): boolean =>
        play.listLines(router, new RegExp(`event=bundle_in_force.*revision=${revision} `)).length > 0;
    while (!play.fleet.listRouters().every(isInForce) && performance.now() - acknowledgedAt < CONFIG_MS) {
        await wait(SAMPLE_MS);
    }
    const tookMs = Math.round(performance.now() - acknowledgedAt);
    t.ok(play.fleet.listRouters().every(isInForce), `${when}: in force after ${tookMs} ms`);
}

async function playSeeds(t: Test, play: ReplacementPlay): Promise<void> {
    const startedAt = performance.now();
    for (const box of ["c1", "c2", "c3"]) {
        const replaced = box === "c2" ? play.replace(box, "SIGKILL") : play.replaceSilent(box);
        await wait(SOON_MS);
        await checkConfiguration(t, play, `while ${box} is removed`);
        await play.waitVotes(await replaced);
        await checkConfiguration(t, play, `once the successor of ${box} votes`);
    }
    const { sent, served, outcomes } = play.count(startedAt, performance.now() - CATCH_UP_MS);
    t.comment(`${served} of ${sent} requests served: ${JSON.stringify(outcomes)}`);
    const living = play.fleet.listControllers()[2]!;
    play.fleet.setSeeds(["c1", "c2", living]);
    const restartedAt = new Date();
    await play.fleet.restartBox("r1");
    await waitUntil("the router", () => play.fleet.isReady("r1"));
    await wait(FOLLOW_MS);
    const followed = play.fleet.listControllers().filter(box => {
        const pattern = new RegExp(`event=controller_connected controller=${play.fleet.getIp(box)}:`);
        return play.listLines("r1", pattern, restartedAt).length > 0;
    });
    t.same(followed, play.fleet.listControllers(), "a router with one living seed follows all controllers");
    await play.fleet.removeController(living, "SIGKILL");
    await checkConfiguration(t, play, "without the seed");
}

void t.test("configurations are in force in time while all seeds of the routers go silent or are killed, and are replaced", t =>
    playReplacement(t, NETWORK, play => playSeeds(t, play)));

void t.test("a controller whose first two seeds are silent votes in time, and two disks may be lost", t =>
    playReplacement(t, NETWORK, async play => {
        for (const box of ["c1", "c2"]) {
            await play.waitVotes(await play.replaceSilent(box));
        }
        play.fleet.setSeeds(["c1", "c2", "c3"]);
        const successor = await play.replace(play.findFollower("c3"), "SIGKILL");
        await waitUntil("its start", async () => await play.fleet.readMetric(successor, "log_voters") !== undefined);
        const startedAt = performance.now();
        await play.waitVotes(successor);
        const tookMs = Math.round(performance.now() - startedAt);
        t.ok(tookMs < CATCH_UP_MS, `it votes after ${tookMs} ms`);
        await wait(CATCH_UP_MS - tookMs);
        const first = play.findFollower(successor, "c3");
        await play.checkLoss(t, [successor, first]);
    }));

void t.test("a controller that lost its disk returns though none of its seeds is left, and two disks may be lost", t =>
    playReplacement(t, NETWORK, async play => {
        await replaceSeeds(play);
        play.fleet.setSeeds(["c1", "c2", "c3"]);
        await play.fleet.killBoxes(["c4"], ["c4"]);
        await wait(1_000);
        const restartedAt = new Date();
        play.fleet.startBox("c4");
        await waitUntil("its start", async () => await play.fleet.readMetric("c4", "log_voters") !== undefined);
        await wait(CATCH_UP_MS);
        t.equal(play.listLines("c4", /event=log_joined/, restartedAt).length, 1, "it votes");
        // Routers have no other way to find a controller.
        play.fleet.setSeeds(["c1", "c2", "c4"]);
        const lost = play.fleet.listControllers().filter(box => box !== "c4").slice(0, 2);
        await play.checkLoss(t, lost);
    }));
