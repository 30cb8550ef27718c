/** Guards against a refusal for want of a leader that is printed without what the controllers logged of it. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t, { type Test } from "tap";
import { explainRequest } from "../../src/cli/explainCommand.js";

const REFUSAL_SECOND = 100;

function createLine(second: number, name: string, event: string, rest: string): string {
    const time = new Date(Date.UTC(2026, 0, 1) + second * 1000).toISOString();
    return `time=${time} level=warn role=controller name=${name} zone=z event=${event} ${rest}`;
}

function createRefusal(refusal: string): string {
    return createLine(REFUSAL_SECOND, "r1", "request_refused", `request=q1 refusal="${refusal}" ran=no`);
}

const NOT_READY = createRefusal("LW1306 notReady: no bundle yet");

/** Returns what `explain` prints of request q1 without times, from a file of each box. */
async function explain(t: Test, ...files: readonly string[][]): Promise<string[]> {
    const folder = await mkdtemp(join(tmpdir(), "loomwinch-leader-state-"));
    t.teardown(() => rm(folder, { recursive: true }));
    const paths = files.map((_, index) => join(folder, `${index}.log`));
    await Promise.all(files.map((lines, index) => writeFile(paths[index]!, lines.join("\n"))));
    const written = t.capture(process.stdout, "write", () => true);
    await explainRequest("q1", paths);
    return written().map(call => String(call.args[0]).replace(/ 2026\S+/, "").trimEnd());
}

for (const refusal of ["LW1306 notReady: no bundle yet", "LW2005 noMajority: no leader is known"]) {
    void t.test(`${refusal}: the failed election is marked, with the set of voters that led to it`, async t => {
        const printed = await explain(t, [createRefusal(refusal)], [
            createLine(80, "c1", "replicas_changed", "reason=added replicas=c1,c2,c3,c4(nonVoting)"),
            createLine(81, "c1", "replicas_changed", "reason=caughtUp replicas=c1,c2,c3,c4"),
            createLine(82, "c1", "fault_tolerance_changed", "voters=4 live=3 majority=3 losses_borne=0 promised=1"),
            createLine(83, "c1", "replica_silent", "replica=c3 voting=true"),
        ], [
            createLine(92, "c2", "election_failed", "stage=preVote granted=1 needed=3 unanswered=c1,c3,c4"),
            createLine(97, "c2", "election_failed", "stage=preVote granted=2 needed=3 unanswered=c1,c3"),
        ], [createLine(96, "c4", "election_failed", "stage=preVote granted=2 needed=3 unanswered=c1,c3")]);
        t.same(printed, [
            "  c1 replicas_changed reason=caughtUp replicas=c1,c2,c3,c4",
            "  c1 fault_tolerance_changed voters=4 live=3 majority=3 losses_borne=0 promised=1",
            "  c4 election_failed stage=preVote granted=2 needed=3 unanswered=c1,c3",
            "* c2 election_failed stage=preVote granted=2 needed=3 unanswered=c1,c3",
            `  r1 request_refused refusal="${refusal}" ran=no`,
        ]);
    });
}

void t.test("lines after the refusal or long before it are not taken for the state at that time", async t => {
    const printed = await explain(t, [
        createLine(39, "c1", "replicas_changed", "reason=added replicas=c1"),
        createLine(39, "c1", "fault_tolerance_changed", "losses_borne=0"),
        createLine(89, "c1", "election_failed", "granted=1"),
        NOT_READY,
        createLine(101, "c2", "election_failed", "granted=1"),
        createLine(101, "c2", "fault_tolerance_changed", "losses_borne=1"),
    ]);
    t.same(printed, ["* r1 request_refused refusal=\"LW1306 notReady: no bundle yet\" ran=no"]);
});

void t.test("lines at the bounds are printed, and a failed election of the same millisecond is the cause", async t => {
    const printed = await explain(t, [NOT_READY], [
        createLine(40, "c1", "replicas_changed", "reason=added"),
        createLine(90, "c1", "election_failed", "granted=1"),
        createLine(100, "c2", "election_failed", "granted=2"),
    ]);
    t.same(printed, [
        "  c1 replicas_changed reason=added",
        "  c1 election_failed granted=1",
        "* c2 election_failed granted=2",
        "  r1 request_refused refusal=\"LW1306 notReady: no bundle yet\" ran=no",
    ]);
});

void t.test("a failed election is not the cause if a leader was elected after it", async t => {
    const printed = await explain(t, [
        createLine(95, "c1", "election_failed", "granted=1"),
        createLine(96, "c2", "leader_elected", "term=7"),
        NOT_READY,
    ]);
    t.same(printed, [
        "  c1 election_failed granted=1",
        "  c2 leader_elected term=7",
        "* r1 request_refused refusal=\"LW1306 notReady: no bundle yet\" ran=no",
    ]);
});

void t.test("other refusals, and other requests that had no leader, are printed without the state of the log", async t => {
    const printed = await explain(t, [
        createLine(99, "c1", "election_failed", "granted=1"),
        createRefusal("LW1203 budgetUnreachable: noMajority"),
        createLine(REFUSAL_SECOND, "r1", "request_refused", "request=q2 refusal=\"LW1306 notReady\" ran=no"),
    ]);
    t.same(printed, ["* r1 request_refused refusal=\"LW1203 budgetUnreachable: noMajority\" ran=no"]);
});

void t.test("failed elections of many controllers are bounded, and do not displace the replica set", async t => {
    const lines = Array.from(
        { length: 64 },
        (_, index) => createLine(90 + index / 10, `c${index}`, "election_failed", "granted=1"),
    );
    const change = createLine(50, "c0", "replicas_changed", "reason=silent");
    const printed = await explain(t, [change, ...lines, NOT_READY]);
    t.equal(printed.length, 10);
    t.equal(printed[0], "  c0 replicas_changed reason=silent");
    t.equal(printed[1], "  c56 election_failed granted=1");
    t.equal(printed[8], "* c63 election_failed granted=1");
});

void t.test("a refusal of a router with sidecars, which names its code in another field, is explained too", async t => {
    const printed = await explain(t, [
        createLine(99, "c1", "election_failed", "granted=1"),
        createLine(REFUSAL_SECOND, "r1", "request_refused", "request=q1 code=notReady ran=no"),
    ]);
    t.same(printed, ["* c1 election_failed granted=1", "  r1 request_refused code=notReady ran=no"]);
});
