/** Guards against refusing requests because a draw ahead of demand has failed. */
import t from "tap";
import { LedgerClient } from "../../src/daemons/router/ledgerClient.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { drawMethod } from "../../src/protocol/ledgerMethods.js";
import { FakeClock, settlePromises } from "../tools/fakes.js";

/** A ledger that can be made unreachable, and grants what a draw needs or wants. */
class FakeLedgerNetwork extends PeerNetwork {
    isReachable = true;
    private granted = 0;

    override connect(): Promise<Peer> {
        return Promise.reject(new Error("unexpected connect"));
    }
    override call<P, R>(_address: string, method: PeerMethod<P, R>, params: P): Promise<R> {
        if (!this.isReachable) {
            return Promise.reject(new RefusalError(createRefusal("notReady")));
        }
        if (method.name !== drawMethod.name) {
            return Promise.resolve({ ledger: "a#1", grantLifeMs: 60_000 } as R);
        }
        this.granted += (params as { need: number; }).need;
        return Promise.resolve({ grantedTotal: this.granted } as R);
    }
}

void t.test("a request draws for itself right after a draw ahead of demand has failed", async t => {
    const network = new FakeLedgerNetwork();
    const client = new LedgerClient(network, new FakeClock(), new NoLog(), new NoMetrics(), {
        router: "r",
        controllers: [{ name: "a", address: "a", zone: "z" }],
        drawAheadMs: 1_000,
        settleWaitMs: 0,
    });
    const first = await client.reserve("b", 100);
    await settlePromises();
    network.isReachable = false;
    first.settle(0);
    // Is served from the grant and starts a draw ahead, which fails.
    await client.reserve("b", 100);
    await settlePromises();
    network.isReachable = true;
    await t.resolves(client.reserve("b", 100));
});
