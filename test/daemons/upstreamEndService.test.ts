/** What a controller logs and counts when culprits are blocked and no longer are, and what it tells routers. */
import t, { type Test } from "tap";
import type { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { SubscribedRouters } from "../../src/daemons/bundleController/subscribedRouters.js";
import { UpstreamEndService } from "../../src/daemons/bundleController/upstreamEndService.js";
import type {
    ClearAttributesCommand,
    ForgetUpstreamEndsCommand,
    RecordUpstreamEndCommand,
} from "../../src/domain/upstreamEndCommands.js";
import { UpstreamEndStore } from "../../src/domain/upstreamEndStore.js";
import { Log, type LogFields } from "../../src/ports/log.js";
import { Metrics } from "../../src/ports/metrics.js";
import type { PeerNetwork } from "../../src/ports/peer.js";
import { FakeClock } from "../tools/fakes.js";

type Command = RecordUpstreamEndCommand | ClearAttributesCommand | ForgetUpstreamEndsCommand;

const MIN_BLOCK_MS = 30_000;

class RecordingLog extends Log {
    readonly lines: LogFields[] = [];

    override info(event: string, fields: LogFields = {}): void {
        this.lines.push({ event, ...fields });
    }

    override warn(event: string, fields: LogFields = {}): void {
        this.info(event, fields);
    }

    override error(): void {}
}

class RecordingMetrics extends Metrics {
    readonly values: Record<string, number> = {};

    override addCount(name: string): void {
        this.values[name] = (this.values[name] ?? 0) + 1;
    }

    override setGauge(name: string, value: number): void {
        this.values[name] = value;
    }

    override recordTiming(): void {}
    override close(): void {}
}

/** A replica that applies each command as it is proposed. */
class FakeReplica {
    readonly state = { upstreamEnds: new UpstreamEndStore() };
    private onEntry: (entry: { command: Command; }) => void = () => undefined;
    private onLoaded: () => void = () => undefined;
    private rounds = 0;

    onApplied(handler: typeof this.onEntry): void {
        this.onEntry = handler;
    }

    onSnapshotLoaded(handler: () => void): void {
        this.onLoaded = handler;
    }

    isLeader(): boolean {
        return false;
    }

    /** Lets a periodic task run once each time it is started. */
    isStopped(): boolean {
        this.rounds += 1;
        return this.rounds % 2 === 0;
    }

    async apply(command: Command): Promise<void> {
        const { upstreamEnds } = this.state;
        const index = upstreamEnds.getLastIndex() + 1;
        if (command.type === "recordUpstreamEnd") {
            upstreamEnds.applyRecord(command, index);
        }
        else if (command.type === "clearAttributes") {
            upstreamEnds.applyClear(command, index);
        }
        else {
            upstreamEnds.applyForget(command, index);
        }
        this.onEntry({ command });
        await new Promise(resolve => setImmediate(resolve));
    }

    async loadEmptySnapshot(): Promise<void> {
        this.state.upstreamEnds.loadSnapshot(new UpstreamEndStore().createSnapshot());
        this.onLoaded();
        await new Promise(resolve => setImmediate(resolve));
    }
}

function createPlay() {
    const replica = new FakeReplica();
    const clock = new FakeClock();
    const log = new RecordingLog();
    const metrics = new RecordingMetrics();
    const service = new UpstreamEndService(
        replica as unknown as ReplicatedLog,
        new SubscribedRouters("start"),
        {} as PeerNetwork,
        clock,
        log,
        metrics,
        { retentionMs: 3_600_000, momentWindowMs: 60 },
    );
    const endUpstream = (life: string, shared: readonly string[]) =>
        replica.apply({
            type: "recordUpstreamEnd",
            life,
            requests: [{ fingerprint: `own ${life}`, hasBegun: true, answerMs: 50, shared: [...shared] }],
        });
    return { replica, clock, log, metrics, service, endUpstream };
}

async function convict(t: Test, play: ReturnType<typeof createPlay>, shared: readonly string[]): Promise<void> {
    for (const life of ["u1", "u2", "u3"]) {
        await play.endUpstream(life, shared);
    }
    t.match(play.log.lines.pop(), { event: "request_quarantined", upstreams: "u1,u2,u3" });
    t.equal(play.metrics.values["quarantines"], 1);
}

void t.test("a quarantine that a survivor lifts names the attributes that were cleared", async t => {
    const play = createPlay();
    await convict(t, play, ["part:x"]);
    await play.replica.apply({ type: "clearAttributes", cleared: [{ attribute: "part:x", upTo: 3 }] });
    t.same(play.log.lines, [
        { event: "quarantine_lifted", quarantine: "part:x", reason: "survivor", by: "part:x", index: 4 },
    ]);
    t.match(play.metrics.values, { quarantines: 0, quarantines_lifted_survivor: 1 });
});

void t.test("a quarantine that a survivor narrows names what replaces it", async t => {
    const play = createPlay();
    await convict(t, play, ["part:x", "account:a"]);
    await play.replica.apply({ type: "clearAttributes", cleared: [{ attribute: "account:a", upTo: 3 }] });
    t.match(play.log.lines, [
        { event: "request_quarantined", quarantine: "part:x" },
        { event: "quarantine_lifted", quarantine: "account:a,part:x", reason: "replaced", by: "part:x", index: 4 },
    ]);
});

void t.test("a quarantine whose time is over is told once, and one more end renews it", async t => {
    const play = createPlay();
    await convict(t, play, ["part:x"]);
    const [suspect] = play.service.createSuspectList().suspects;
    play.clock.advance(suspect!.leftMs - 1);
    await play.service.runEviction();
    t.same(play.log.lines, []);
    play.clock.advance(1);
    await play.service.runEviction();
    await play.service.runEviction();
    t.match(play.log.lines, [{
        event: "quarantine_lifted",
        quarantine: "part:x",
        reason: "expired",
        index: undefined,
    }]);
    t.equal(play.service.createSuspectList().suspects[0]!.leftMs, 0);
    await play.endUpstream("u4", ["part:x"]);
    t.match(play.log.lines[1], { event: "request_quarantined", quarantine: "part:x" });
    t.ok(play.service.createSuspectList().suspects[0]!.leftMs >= MIN_BLOCK_MS);
});

void t.test("another router's report of the same end does not shorten a quarantine", async t => {
    const play = createPlay();
    await convict(t, play, ["part:x"]);
    const { leftMs } = play.service.createSuspectList().suspects[0]!;
    await play.endUpstream("u3", ["account:b"]);
    t.same(play.log.lines, []);
    t.equal(play.service.createSuspectList().suspects[0]!.leftMs, leftMs);
});

void t.test("a quarantine that the leader's state does not have is told as such", async t => {
    const play = createPlay();
    await convict(t, play, ["part:x"]);
    await play.replica.loadEmptySnapshot();
    t.match(play.log.lines, [{ event: "quarantine_lifted", quarantine: "part:x", reason: "snapshotLoaded" }]);
});
