/** A router asks its controllers in turn for all upstreams, each of them only once in a while. */
import t from "tap";
import { ControllerFeeds } from "../../src/daemons/directRouter/controllerFeeds.js";
import { Clock } from "../../src/ports/clock.js";
import type { Log } from "../../src/ports/log.js";
import { Peer, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import type { FollowAnswer } from "../../src/protocol/fleetMethods.js";
import { settlePromises } from "../tools/fakes.js";

const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const CONTROLLERS = ["c1", "c2", "c3", "c4", "c5"];
const PERIOD_MS = 1_000;
const STEP_MS = 100;

/** Time moves in steps; those who wait are woken when theirs has come. */
class SteppedClock extends Clock {
    private now = 0;
    private waiting: { readonly dueAt: number; readonly wake: () => void; }[] = [];

    override getMonotonicMs(): number {
        return this.now;
    }
    override getWallMs(): number {
        return this.now;
    }
    override wait(ms: number): Promise<void> {
        return new Promise(wake => this.waiting.push({ dueAt: this.now + ms, wake }));
    }
    async advance(ms: number): Promise<void> {
        for (const end = this.now + ms; this.now < end;) {
            this.now += STEP_MS;
            const due = this.waiting.filter(entry => entry.dueAt <= this.now);
            this.waiting = this.waiting.filter(entry => entry.dueAt > this.now);
            due.forEach(entry => entry.wake());
            await settlePromises();
        }
    }
}

interface Question {
    readonly controller: string;
    readonly wantsUpstreams: boolean;
}

class CountingNetwork extends PeerNetwork {
    readonly questions: Question[] = [];
    readonly silent = new Set<string>();

    override connect(address: string): Promise<Peer> {
        return Promise.resolve(new AnsweringPeer(this, address));
    }
}

class AnsweringPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "c", role: "controller", zone: "z", incarnation: "i" };

    constructor(private readonly network: CountingNetwork, private readonly address: string) {
        super();
    }
    override call<P, R>(_method: PeerMethod<P, R>, params: P): Promise<R> {
        if (this.network.silent.has(this.address)) {
            return Promise.reject(new Error("silent"));
        }
        const { wantsUpstreams } = params as { wantsUpstreams: boolean; };
        this.network.questions.push({ controller: this.address, wantsUpstreams });
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
    const clock = new SteppedClock();
    const network = new CountingNetwork();
    const listener = {
        receiveFollowAnswer: () => undefined,
        receiveUpstreamUpdate: () => undefined,
        receiveBundle: () => undefined,
    };
    const feeds = new ControllerFeeds(network, clock, NO_LOG, listener, {
        address: "r1",
        followPeriodMs: PERIOD_MS,
        callTimeoutMs: PERIOD_MS,
        redialMs: 200,
        upstreamUnheardMs: 1_800,
        forgetControllerMs: 20_000,
        unconfirmedReadyMs: 3_000,
    });
    feeds.setSeeds(CONTROLLERS);
    return { clock, network, feeds };
}

void t.test("every controller is asked for all upstreams at first, then one a period, each in its turn", async t => {
    const { clock, network, feeds } = startFeeds();
    await settlePromises();
    t.same(network.questions.map(({ wantsUpstreams }) => wantsUpstreams), [true, true, true, true, true]);
    network.questions.length = 0;
    await clock.advance(10 * PERIOD_MS);
    const whole = network.questions.filter(({ wantsUpstreams }) => wantsUpstreams);
    t.equal(network.questions.length, 10 * CONTROLLERS.length, "all are asked whether there is news");
    t.equal(whole.length, 10);
    CONTROLLERS.forEach(name => t.equal(whole.filter(({ controller }) => controller === name).length, 2, name));
    feeds.stop();
});

void t.test("a controller that falls silent loses its turn, and is asked at once when it is back", async t => {
    const { clock, network, feeds } = startFeeds();
    await settlePromises();
    network.silent.add("c1");
    await clock.advance(3 * PERIOD_MS);
    network.questions.length = 0;
    await clock.advance(4 * PERIOD_MS);
    t.equal(network.questions.filter(({ wantsUpstreams }) => wantsUpstreams).length, 4);
    network.silent.delete("c1");
    network.questions.length = 0;
    await clock.advance(2 * STEP_MS);
    t.same(network.questions.filter(({ controller }) => controller === "c1"), [{
        controller: "c1",
        wantsUpstreams: true,
    }]);
    feeds.stop();
});
