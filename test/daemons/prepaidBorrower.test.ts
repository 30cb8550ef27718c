/** Loans between routers: order of lenders, backoff after failures, late responses and the return of unused tokens. */
import t from "tap";
import { PrepaidBorrower } from "../../src/daemons/directRouter/prepaidBorrower.js";
import { RouterLinks } from "../../src/daemons/directRouter/routerLinks.js";
import { LocalTokenBudget } from "../../src/domain/localTokenBudget.js";
import { TokenHolders } from "../../src/domain/tokenHolders.js";
import type { Log } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { Peer, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { settlePromises } from "../tools/fakes.js";
import { testTokenBudgetOptions } from "../tools/prepaidSimulation.js";

const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const BEYOND_TEST_MS = 600_000;
const RANK = 0;
const ACCOUNT = "a";
/** Enough routers in one zone to form a group with a shared holder. */
const CONTACTS = Array.from({ length: 14 }, (_, i) => ({ address: `r${i}`, zone: "z" }));

/** Records notifications. */
class RecordingPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "", role: "router", zone: "z", incarnation: "" };
    readonly notices: unknown[] = [];
    private closeHandler: () => void = () => undefined;
    private isConnected = true;

    override call(): Promise<never> {
        return Promise.reject(new Error("not used"));
    }
    override notify<P>(_method: PeerMethod<P, void>, params: P): void {
        this.notices.push(params);
    }
    override onClose(handler: () => void): () => void {
        this.closeHandler = handler;
        return () => this.closeHandler = () => undefined;
    }
    override isOpen(): boolean {
        return this.isConnected;
    }
    disconnect(): void {
        this.isConnected = false;
        this.closeHandler();
    }
}

/** Routers lend what is requested, unless they are unreachable; slow ones respond when the test says so. */
class LendingNetwork extends PeerNetwork {
    readonly calledAddresses: string[] = [];
    readonly unreachable = new Set<string>();
    readonly slow = new Set<string>();
    readonly delayedAnswers: (() => void)[] = [];
    readonly peers = new Map<string, RecordingPeer>();

    override connect(address: string): Promise<Peer> {
        if (this.unreachable.has(address)) {
            return Promise.reject(new Error("unreachable"));
        }
        const peer = new RecordingPeer();
        this.peers.set(address, peer);
        return Promise.resolve(peer);
    }
    override call<P, R>(address: string, _method: PeerMethod<P, R>, params: P): Promise<R> {
        this.calledAddresses.push(address);
        const { tokens } = params as { tokens: number; };
        if (this.slow.has(address)) {
            return new Promise(resolve => this.delayedAnswers.push(() => resolve({ tokens } as R)));
        }
        return this.unreachable.has(address)
            ? Promise.reject(new Error("unreachable"))
            : Promise.resolve({ tokens } as R);
    }
}

function createBorrower(callTimeoutMs = BEYOND_TEST_MS) {
    const holders = createHolders(CONTACTS.find(self => !createHolders(self).isHolder(ACCOUNT))!);
    const network = new LendingNetwork();
    const tokenBudget = new LocalTokenBudget("r", "i", testTokenBudgetOptions);
    tokenBudget.setLimits([{ account: ACCOUNT, tokens: 100_000 }]);
    tokenBudget.setHoldings(() => ({ isHolder: false, holders: 1 }));
    const links = new RouterLinks(network, NO_LOG);
    const options = {
        maxLenders: 6,
        callTimeoutMs,
        lateResponseTimeoutMs: BEYOND_TEST_MS,
        backoffMs: BEYOND_TEST_MS,
        returnPeriodMs: BEYOND_TEST_MS,
    };
    const borrower = new PrepaidBorrower(tokenBudget, holders, network, links, NO_LOG, new NoMetrics(), options);
    return {
        borrower,
        tokenBudget,
        network,
        links,
        holder: holders.tryGetReachableHolder(ACCOUNT, () => true)!,
    };
}

function createHolders(self: { address: string; zone: string; }): TokenHolders {
    const holders = new TokenHolders(self);
    holders.setOthers(CONTACTS.filter(contact => contact.address !== self.address));
    return holders;
}

void t.test("the holder is asked for the shortfall, and skipped for the next router after a failure", async t => {
    const { borrower, tokenBudget, network, holder } = createBorrower();
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 3_000, RANK), true);
    t.same(network.calledAddresses, [holder]);
    t.equal(tokenBudget.tryReserve(ACCOUNT, 3_000, RANK, performance.now()), "reserved");
    network.unreachable.add(holder);
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 1_000, RANK), false);
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 1_000, RANK), true);
    t.equal(network.calledAddresses.length, 3);
    t.not(network.calledAddresses[2], holder);
});

void t.test("a loan that arrives after the request timed out is kept and returned", async t => {
    const { borrower, tokenBudget, network, links, holder } = createBorrower(1);
    network.slow.add(holder);
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 3_000, RANK), false);
    t.same(tokenBudget.listUnusedLoans(), []);
    network.delayedAnswers.forEach(answer => answer());
    await settlePromises();
    t.same(tokenBudget.listUnusedLoans(), [{ account: ACCOUNT, tokens: 3_000 }]);
    links.reconcile([holder]);
    await settlePromises();
    borrower.returnLoans();
    t.same(network.peers.get(holder)!.notices, [{ accounts: [{ account: ACCOUNT, tokens: 3_000 }] }]);
});

void t.test("unused tokens are returned to the holder once, and only when it is connected", async t => {
    const { borrower, tokenBudget, network, links, holder } = createBorrower();
    await borrower.borrowFromHolder(ACCOUNT, 3_000, RANK);
    borrower.returnLoans();
    t.same(tokenBudget.listUnusedLoans(), [{ account: ACCOUNT, tokens: 3_000 }], "not connected yet");
    await settlePromises();
    borrower.returnLoans();
    borrower.returnLoans();
    t.same(network.peers.get(holder)!.notices, [{ accounts: [{ account: ACCOUNT, tokens: 3_000 }] }]);
    t.same(tokenBudget.listUnusedLoans(), []);
    t.equal(links.isReachable(holder), true);
});

void t.test("a target whose connection is lost is unreachable until reconnected", async t => {
    const { network, links } = createBorrower();
    let changes = 0;
    links.onReachabilityChange(() => changes += 1);
    links.reconcile(["r1"]);
    await settlePromises();
    network.unreachable.add("r1");
    network.peers.get("r1")!.disconnect();
    t.equal(links.isReachable("r1"), false);
    links.reconcile(["r1"]);
    await settlePromises();
    t.equal(links.isReachable("r1"), false);
    network.unreachable.delete("r1");
    links.reconcile(["r1"]);
    await settlePromises();
    t.equal(links.isReachable("r1"), true);
    t.equal(changes, 2);
});
