/** Guards against polling every controller for upstream changes in each period. */
import t from "tap";
import { ControllerFeeds } from "../../src/daemons/directRouter/controllerFeeds.js";
import { Clock } from "../../src/ports/clock.js";
import type { Log } from "../../src/ports/log.js";
import { Peer, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import type { FollowAnswer } from "../../src/protocol/fleetMethods.js";
import { settlePromises } from "../tools/fakes.js";

const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const CONTROLLERS = ["c1", "c2", "c3", "c4", "c5"];
const FOLLOW_PERIOD_MS = 1_000;
const STEP_MS = 100;

/** Advances time in steps and resolves the timers that are due after each. */
class SteppingClock extends Clock {
    private now = 0;
    private timers: { readonly dueAt: number; readonly wake: () => void; }[] = [];

    override getMonotonicMs(): number {
        return this.now;
    }
    override getWallMs(): number {
        return this.now;
    }
    override wait(ms: number): Promise<void> {
        return new Promise(wake => this.timers.push({ dueAt: this.now + ms, wake }));
    }
    async advance(ms: number): Promise<void> {
        for (const end = this.now + ms; this.now < end;) {
            this.now += STEP_MS;
            const due = this.timers.filter(entry => entry.dueAt <= this.now);
            this.timers = this.timers.filter(entry => entry.dueAt > this.now);
            due.forEach(entry => entry.wake());
            await settlePromises();
        }
    }
}

interface FollowRequest {
    readonly controller: string;
    readonly wantsUpstreams: boolean;
}

class RecordingNetwork extends PeerNetwork {
    readonly requests: FollowRequest[] = [];
    readonly unreachable = new Set<string>();

    override connect(address: string): Promise<Peer> {
        return Promise.resolve(new AnsweringPeer(this, address));
    }
}

class AnsweringPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "c", role: "controller", zone: "z", incarnation: "i" };

    constructor(private readonly network: RecordingNetwork, private readonly address: string) {
        super();
    }
    override call<P, R>(_method: PeerMethod<P, R>, params: P): Promise<R> {
        if (this.network.unreachable.has(this.address)) {
            return Promise.reject(new Error("unreachable"));
        }
        const { wantsUpstreams } = params as { wantsUpstreams: boolean; };
        this.network.requests.push({ controller: this.address, wantsUpstreams });
        const answer: FollowAnswer = { upstreams: [], controllers: CONTROLLERS, routers: [], hasMajority: true };
        return Promise.resolve(answer as R);
    }
    override notify(): void {}
    override onClose(): () => void {
        return () => undefined;
    }
    override isOpen(): boolean {
        return true;
    }
}

function startFeeds() {
    const clock = new SteppingClock();
    const network = new RecordingNetwork();
    const listener = {
        receiveFollowAnswer: () => undefined,
        receiveUpstreamUpdate: () => undefined,
        receiveReconnected: () => undefined,
        receiveBundle: () => undefined,
    };
    const feeds = new ControllerFeeds(network, clock, NO_LOG, listener, {
        address: "r1",
        pollIntervalMs: FOLLOW_PERIOD_MS,
        callTimeoutMs: FOLLOW_PERIOD_MS,
        reconnectDelayMs: 200,
        upstreamStaleMs: 1_800,
        controllerRetentionMs: 20_000,
        readinessTimeoutMs: 3_000,
    });
    feeds.setSeeds(CONTROLLERS);
    return { clock, network, feeds };
}

void t.test("the first poll of each controller requests upstreams, then one controller per period in rotation", async t => {
    const { clock, network, feeds } = startFeeds();
    await settlePromises();
    t.same(network.requests.map(({ wantsUpstreams }) => wantsUpstreams), [true, true, true, true, true]);
    network.requests.length = 0;
    await clock.advance(10 * FOLLOW_PERIOD_MS);
    const upstreamPolls = network.requests.filter(({ wantsUpstreams }) => wantsUpstreams);
    t.equal(network.requests.length, 10 * CONTROLLERS.length, "every controller is polled in each period");
    t.equal(upstreamPolls.length, 10);
    CONTROLLERS.forEach(name => t.equal(upstreamPolls.filter(({ controller }) => controller === name).length, 2, name));
    feeds.stop();
});

void t.test("an unresponsive controller leaves the rotation, and is polled for upstreams when it recovers", async t => {
    const { clock, network, feeds } = startFeeds();
    await settlePromises();
    network.unreachable.add("c1");
    await clock.advance(3 * FOLLOW_PERIOD_MS);
    network.requests.length = 0;
    await clock.advance(4 * FOLLOW_PERIOD_MS);
    t.equal(network.requests.filter(({ wantsUpstreams }) => wantsUpstreams).length, 4);
    network.unreachable.delete("c1");
    network.requests.length = 0;
    await clock.advance(2 * STEP_MS);
    t.same(network.requests.filter(({ controller }) => controller === "c1"), [{
        controller: "c1",
        wantsUpstreams: true,
    }]);
    feeds.stop();
});
