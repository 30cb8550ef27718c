/** How a router fetches a bundle that several controllers tell of: once, from one of them at a time. */
import t, { type Test } from "tap";
import type { BundleListener } from "../../src/daemons/directRouter/bundleFetcher.js";
import type { FeedListener } from "../../src/daemons/directRouter/controllerFeed.js";
import { ControllerFeeds, type ControllerFeedsOptions } from "../../src/daemons/directRouter/controllerFeeds.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import type { Log } from "../../src/ports/log.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { getBundleMethod } from "../../src/protocol/fleetMethods.js";
import { settlePromises } from "../tools/fakes.js";

const CONTROLLERS = ["c1", "c2", "c3", "c4", "c5"];
const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const NO_BUNDLE: FeedListener & BundleListener = {
    receiveFollowAnswer: () => undefined,
    receiveBundle: () => undefined,
};
const options: ControllerFeedsOptions = {
    address: "r1",
    followPeriodMs: 50,
    callTimeoutMs: 1_000,
    redialMs: 50,
    forgetControllerMs: 20_000,
    unconfirmedReadyMs: 3_000,
};

/** Reaches no controller; fetches of bundles wait until the test ends them. */
class HeldNetwork extends PeerNetwork {
    /** Addresses that a bundle was asked of, in order. */
    readonly asked: string[] = [];
    private readonly refusals: (() => void)[] = [];

    override connect(address: string): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone", address)));
    }

    override call<P, R>(address: string, method: PeerMethod<P, R>): Promise<R> {
        t.equal(method.name, getBundleMethod.name);
        this.asked.push(address);
        return new Promise((_resolve, reject) => {
            this.refusals.push(() => reject(new RefusalError(createRefusal("peerTimeout", address, "unknown"))));
        });
    }

    /** The fetch that waits longest comes to nothing. */
    refuseNext(): void {
        this.refusals.shift()!();
    }
}

function startFeeds(t: Test): { network: HeldNetwork; feeds: ControllerFeeds; } {
    const network = new HeldNetwork();
    const feeds = new ControllerFeeds(network, new SystemClock(), NO_LOG, NO_BUNDLE, options);
    feeds.setSeeds(CONTROLLERS);
    t.teardown(() => feeds.stop());
    return { network, feeds };
}

void t.test("a bundle that five controllers tell of is fetched from one of them", async t => {
    const { network, feeds } = startFeeds(t);
    CONTROLLERS.forEach(controller => void feeds.fetchBundle(controller, 7));
    await settlePromises();
    t.same(network.asked, ["c1"]);
});

void t.test("where one controller does not answer, another one that told of the bundle is asked", async t => {
    const { network, feeds } = startFeeds(t);
    CONTROLLERS.forEach(controller => void feeds.fetchBundle(controller, 7));
    network.refuseNext();
    await settlePromises();
    t.same(network.asked, ["c1", "c2"]);
});
