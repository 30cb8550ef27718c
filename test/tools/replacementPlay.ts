/**
 * A play in which controllers are removed for good and replaced by others with empty disks at new addresses, under load; then as many disks
 * are lost as the settings tolerate, and what was acknowledged has to be read back.
 */
import type { Test } from "tap";
import { MIN_SERVED_FRACTION, RETURN_MS, ReturningPlay } from "./returningPlay.js";
import { wait, waitUntil } from "./waiting.js";

const ROUTERS = 3;
const REQUESTS_PER_S = 20;
const PREPAID = 60_000_000;
/** Time after the start of a successor from which its predecessor no longer counts as lost (`catch_up_s`). */
export const CATCH_UP_MS = 4_000;
const DOWN_MS = 1_000;
const READ_PERIOD_MS = 100;
/** Requests of this period are counted as served once another such period has passed. */
const COUNT_MS = 1_500;

interface ReplacementPlayOptions {
    /** Whether the links between the controllers of the beginning can be cut. */
    readonly hasCuttableLinks?: boolean;
}

export class ReplacementPlay {
    private readonly play: ReturningPlay;
    /** Other plays of a test file write to the same logs. */
    private readonly createdAt = new Date();

    constructor(network: number, options: ReplacementPlayOptions) {
        this.play = new ReturningPlay({
            network,
            routers: ROUTERS,
            requestsPerS: REQUESTS_PER_S,
            prepaid: [PREPAID],
            ...options,
        });
    }

    get fleet(): ReturningPlay["fleet"] {
        return this.play.fleet;
    }

    /** Resolves when five controllers vote and requests are served. */
    async start(): Promise<void> {
        await this.play.start();
        await waitUntil(
            "five voters",
            async () => await this.fleet.readMetric(this.fleet.findLeader(), "log_voters") === 5,
        );
        this.play.startLoad();
        await wait(COUNT_MS);
    }

    close(): Promise<void> {
        return this.play.close();
    }

    /** Returns a controller that does not lead; `others`: those that are not meant. */
    findFollower(...others: readonly string[]): string {
        const leader = this.fleet.findLeader();
        return this.fleet.listControllers().find(box => box !== leader && !others.includes(box))!;
    }

    /** Starts a successor; returns its box. */
    async addController(): Promise<string> {
        const box = await this.fleet.addController();
        this.play.updateControllers();
        return box;
    }

    /** Removes a controller for good, and starts its successor later. Returns the successor's box. */
    async replace(box: string, signal: NodeJS.Signals, gapMs = 1_000): Promise<string> {
        await this.fleet.removeController(box, signal);
        this.play.updateControllers();
        await wait(gapMs);
        return this.addController();
    }

    /** Lets a controller go silent for good, and starts its successor later. Returns the successor's box. */
    async replaceSilent(box: string, gapMs = 1_000): Promise<string> {
        this.fleet.silenceController(box);
        this.play.updateControllers();
        await wait(gapMs);
        return this.addController();
    }

    /** Returns the lines that a box has logged since a time, in this play, and that match. */
    listLines(box: string, pattern: RegExp, since = this.createdAt): string[] {
        const isLater = (line: string): boolean => line.slice(line.indexOf("=") + 1) >= since.toISOString();
        return this.fleet.listLogLines(box, pattern).filter(isLater);
    }

    /** Returns the addresses that vote by the latest change of the replica set; none before the first change. */
    listVoters(): string[] {
        const changes = this.fleet.listControllers().flatMap(box => this.listLines(box, /event=replicas_changed/));
        const [, replicas = ""] = /replicas=(\S+)/.exec(changes.sort().at(-1) ?? "") ?? [];
        return replicas.split(",").filter(name => name !== "" && !name.endsWith("(nonVoting)"));
    }

    /** Resolves when a controller votes. */
    async waitVotes(box: string): Promise<void> {
        const prefix = `${this.fleet.getIp(box)}:`;
        await waitUntil(`${box} to vote`, () => this.listVoters().some(address => address.startsWith(prefix)));
    }

    /** Counts the requests that were sent in a period. */
    count(from: number, to: number): ReturnType<ReturningPlay["count"]> {
        return this.play.count(from, to);
    }

    /** Puts a configuration. Returns its revision once it is acknowledged. */
    acknowledge(): Promise<number> {
        return this.play.putNextBundle();
    }

    /**
     * Loses all processes and some disks right after an acknowledgement, and checks that the configuration is read back and requests are served
     * in time. `lostDisks`: the boxes, whichever they are if undefined.
     */
    async checkLoss(t: Test, lostDisks: readonly string[]): Promise<void> {
        const revision = await this.acknowledge();
        const returnedAt = await this.play.loseAll(DOWN_MS, lostDisks);
        await this.checkReadBack(t, revision, returnedAt);
        await this.checkServed(t, returnedAt);
    }

    /** Loses some disks with their processes while the others run on; checks that changes are acknowledged and read back. */
    async checkLostDisks(t: Test, lostDisks: readonly string[]): Promise<void> {
        const revision = await this.acknowledge();
        await this.fleet.killBoxes(lostDisks, lostDisks);
        const lostAt = performance.now();
        await wait(DOWN_MS);
        lostDisks.forEach(box => this.fleet.startBox(box));
        await this.checkReadBack(t, revision, lostAt);
        await this.checkReadBack(t, await this.acknowledge(), performance.now());
        await this.checkServed(t, lostAt);
    }

    private async checkReadBack(t: Test, revision: number, from: number): Promise<void> {
        let read: number | undefined;
        while (read === undefined && performance.now() - from < RETURN_MS) {
            const boxes = this.fleet.listControllers();
            const revisions = await Promise.all(boxes.map(box => this.tryReadRevision(box)));
            read = revisions.find(value => value !== undefined);
            await wait(READ_PERIOD_MS);
        }
        const tookMs = Math.round(performance.now() - from);
        t.equal(read, revision, `revision ${revision} is read back, after ${tookMs} ms`);
    }

    private async tryReadRevision(box: string): Promise<number | undefined> {
        const { status, text } = await this.fleet.readConfig(box);
        return status === 200 ? (JSON.parse(text) as { config_rev: number; }).config_rev : undefined;
    }

    /** A quarter of the requests that are sent in a period is served; the last period looked at begins 12 s after the return. */
    private async checkServed(t: Test, returnedAt: number): Promise<void> {
        for (;;) {
            const startedAt = performance.now();
            await wait(COUNT_MS * 2);
            const { sent, served, outcomes } = this.play.count(startedAt, startedAt + COUNT_MS);
            const isServed = sent > 0 && served >= sent * MIN_SERVED_FRACTION;
            if (isServed || startedAt > returnedAt + RETURN_MS) {
                const afterMs = Math.round(startedAt - returnedAt);
                t.ok(
                    isServed,
                    `${served} of ${sent} requests sent after ${afterMs} ms are served (${JSON.stringify(outcomes)})`,
                );
                return;
            }
        }
    }
}

/** Plays a scene with a fleet of its own. `network`: unique for each test file. */
export async function playReplacement(
    t: Test,
    network: number,
    scene: (play: ReplacementPlay) => Promise<void>,
    options: ReplacementPlayOptions = {},
): Promise<void> {
    const play = new ReplacementPlay(network, options);
    t.teardown(() => play.close());
    await play.start();
    await scene(play);
}
