/** Guards against a log without a majority whose logs and metrics do not tell whether replicas are down or still count after their removal. */
import t from "tap";
import { ElectionReporter } from "../../src/consensus/electionReporter.js";
import type { ReplicaCondition } from "../../src/consensus/replicaCondition.js";
import { ReplicaSetMonitor } from "../../src/consensus/replicaSetMonitor.js";
import { Log } from "../../src/ports/log.js";
import { Metrics } from "../../src/ports/metrics.js";
import { FakeClock } from "../tools/fakes.js";

class EventLog extends Log {
    readonly events: string[] = [];
    override info(event: string): void {
        this.events.push(event);
    }
    override warn(event: string): void {
        this.events.push(event);
    }
    override error(): void {}
}

class KeptGauges extends Metrics {
    readonly values = new Map<string, number>();
    override addCount(): void {}
    override setGauge(name: string, value: number): void {
        this.values.set(name, value);
    }
    override recordTiming(): void {}
    override close(): void {}
}

function listConditions(
    silentMs: Readonly<Record<string, number>>,
    nonVoters: readonly string[] = [],
): ReplicaCondition[] {
    return Object.entries(silentMs).map(([name, ms]) => ({
        name,
        address: name,
        voting: !nonVoters.includes(name),
        silentMs: ms,
        isLeaving: false,
    }));
}

void t.test("a set with a lost voter is told apart from one in which a voter is down", async t => {
    const log = new EventLog();
    const metrics = new KeptGauges();
    const monitor = new ReplicaSetMonitor(log, metrics, { silentAfterMs: 1_000, toleratedLosses: 2 });
    const five = { a: 0, b: 10, c: 10, d: 10, e: 10 };
    monitor.observeAsLeader(listConditions(five));
    t.same(log.events, ["fault_tolerance_changed"]);
    t.equal(metrics.values.get("log_losses_borne"), 2);

    monitor.observeAsLeader(listConditions({ ...five, e: 1_001 }));
    monitor.observeAsLeader(listConditions({ ...five, e: 1_251 }));
    t.same(log.events.slice(1), ["replica_silent", "fault_tolerance_changed"], "once");
    t.equal(metrics.values.get("log_losses_borne"), 1);

    monitor.observeAsLeader(listConditions({ ...five, e: 1_501, f: 10 }));
    t.equal(metrics.values.get("log_majority"), 4, "a majority of six");
    t.equal(metrics.values.get("log_losses_borne"), 1);

    monitor.observeAsLeader(listConditions({ ...five, e: 1_751, f: 10 }, ["e"]));
    t.equal(metrics.values.get("log_losses_borne"), 2, "the lost one no longer votes");

    monitor.observeAsLeader(listConditions(five).map(replica => ({ ...replica, isLeaving: replica.name === "d" })));
    t.equal(metrics.values.get("log_losses_borne"), 1, "one that announced its stop counts as lost");

    monitor.observeAsLeader(listConditions({ ...five, f: 10 }));
    monitor.observeAsFollower(6, 4);
    t.ok(log.events.includes("replica_heard"));
    t.equal(metrics.values.get("log_leader"), 0);
});

void t.test("a failed election is logged with the votes that were missing, and again only if they change", async t => {
    const clock = new FakeClock();
    const log = new EventLog();
    const reporter = new ElectionReporter(log, clock);
    const votes = { granted: 3, needed: 4, refusedBy: [], nonMembers: ["e", "d"], unanswered: ["b"] };
    reporter.reportFailure("preVote", 2, votes);
    reporter.reportFailure("preVote", 2, { ...votes, nonMembers: ["d", "e"] });
    t.same(log.events, ["election_failed"]);
    reporter.reportFailure("preVote", 2, { ...votes, unanswered: ["b", "c"], granted: 2 });
    t.equal(log.events.length, 2, "other votes are missing");
    clock.advance(5_000);
    reporter.reportFailure("preVote", 2, { ...votes, unanswered: ["b", "c"], granted: 2 });
    t.equal(log.events.length, 3, "after five seconds");
});
