/** Loans: the holder is asked first, one that does not answer is left out for a while, and what is left goes back once. */
import t from "tap";
import { PrepaidBorrower } from "../../src/daemons/directRouter/prepaidBorrower.js";
import { RouterLinks } from "../../src/daemons/directRouter/routerLinks.js";
import { LocalTokenBudget } from "../../src/domain/localTokenBudget.js";
import { TokenHolders } from "../../src/domain/tokenHolders.js";
import type { Log } from "../../src/ports/log.js";
import { Peer, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { settlePromises } from "../tools/fakes.js";
import { testTokenBudgetOptions } from "../tools/prepaidSimulation.js";

const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const NEVER_MS = 600_000;
const RANK = 0;
const ACCOUNT = "a";
/** Enough routers of one zone for a group with a holder. */
const CONTACTS = Array.from({ length: 14 }, (_, i) => ({ address: `r${i}`, zone: "z" }));

/** Keeps what it is told, until it is lost. */
class ToldPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "", role: "router", zone: "z", incarnation: "" };
    readonly told: unknown[] = [];
    private closeHandler: () => void = () => undefined;
    private open = true;

    override call(): Promise<never> {
        return Promise.reject(new Error("not used"));
    }
    override notify<P>(_method: PeerMethod<P, void>, params: P): void {
        this.told.push(params);
    }
    override onClose(handler: () => void): () => void {
        this.closeHandler = handler;
        return () => this.closeHandler = () => undefined;
    }
    override isOpen(): boolean {
        return this.open;
    }
    lose(): void {
        this.open = false;
        this.closeHandler();
    }
}

/** Every router lends all that it is asked for, but for the silent ones. */
class LendingNetwork extends PeerNetwork {
    readonly asked: string[] = [];
    readonly silent = new Set<string>();
    readonly late = new Set<string>();
    readonly answerLate: (() => void)[] = [];
    readonly peers = new Map<string, ToldPeer>();

    override connect(address: string): Promise<Peer> {
        if (this.silent.has(address)) {
            return Promise.reject(new Error("silent"));
        }
        const peer = new ToldPeer();
        this.peers.set(address, peer);
        return Promise.resolve(peer);
    }
    override call<P, R>(address: string, _method: PeerMethod<P, R>, params: P): Promise<R> {
        this.asked.push(address);
        const { tokens } = params as { tokens: number; };
        if (this.late.has(address)) {
            return new Promise(resolve => this.answerLate.push(() => resolve({ tokens } as R)));
        }
        return this.silent.has(address) ? Promise.reject(new Error("silent")) : Promise.resolve({ tokens } as R);
    }
}

function createBorrower(callTimeoutMs = NEVER_MS) {
    const holders = createHolders(CONTACTS.find(self => !createHolders(self).isHolder(ACCOUNT))!);
    const network = new LendingNetwork();
    const purse = new LocalTokenBudget("r", "i", testTokenBudgetOptions);
    purse.setLimits([{ account: ACCOUNT, tokens: 100_000 }]);
    purse.setHoldings(() => ({ isHolder: false, holders: 1 }));
    const links = new RouterLinks(network, NO_LOG);
    const options = { maxAsked: 6, callTimeoutMs, lateAnswerMs: NEVER_MS, avoidMs: NEVER_MS, returnPeriodMs: NEVER_MS };
    const borrower = new PrepaidBorrower(purse, holders, network, links, NO_LOG, options);
    return { borrower, purse, network, links, holder: holders.tryGetReachableHolder(ACCOUNT, () => true)! };
}

function createHolders(self: { address: string; zone: string; }): TokenHolders {
    const holders = new TokenHolders(self);
    holders.setOthers(CONTACTS.filter(contact => contact.address !== self.address));
    return holders;
}

void t.test("the holder is asked for what is missing; where it does not answer, the next, and not again soon", async t => {
    const { borrower, purse, network, holder } = createBorrower();
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 3_000, RANK), true);
    t.same(network.asked, [holder]);
    t.equal(purse.tryReserve(ACCOUNT, 3_000, RANK, performance.now()), "reserved");
    network.silent.add(holder);
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 1_000, RANK), false);
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 1_000, RANK), true);
    t.equal(network.asked.length, 3);
    t.not(network.asked[2], holder);
});

void t.test("a loan that comes too late for its request is kept, and goes back", async t => {
    const { borrower, purse, network, links, holder } = createBorrower(1);
    network.late.add(holder);
    t.equal(await borrower.borrowFromHolder(ACCOUNT, 3_000, RANK), false);
    t.same(purse.listUnusedLoans(), []);
    network.answerLate.forEach(answer => answer());
    await settlePromises();
    t.same(purse.listUnusedLoans(), [{ account: ACCOUNT, tokens: 3_000 }]);
    links.keep([holder]);
    await settlePromises();
    borrower.returnLoans();
    t.same(network.peers.get(holder)!.told, [{ accounts: [{ account: ACCOUNT, tokens: 3_000 }] }]);
});

void t.test("what is left of loans goes back to the holder once, and stays while the holder is not connected", async t => {
    const { borrower, purse, network, links, holder } = createBorrower();
    await borrower.borrowFromHolder(ACCOUNT, 3_000, RANK);
    borrower.returnLoans();
    t.same(purse.listUnusedLoans(), [{ account: ACCOUNT, tokens: 3_000 }], "not connected yet");
    await settlePromises();
    borrower.returnLoans();
    borrower.returnLoans();
    t.same(network.peers.get(holder)!.told, [{ accounts: [{ account: ACCOUNT, tokens: 3_000 }] }]);
    t.same(purse.listUnusedLoans(), []);
    t.equal(links.isReachable(holder), true);
});

void t.test("a kept router whose connection is lost counts as unreached until it is connected again", async t => {
    const { network, links } = createBorrower();
    let changes = 0;
    links.onReachableChanged(() => changes += 1);
    links.keep(["r1"]);
    await settlePromises();
    network.silent.add("r1");
    network.peers.get("r1")!.lose();
    t.equal(links.isReachable("r1"), false);
    links.keep(["r1"]);
    await settlePromises();
    t.equal(links.isReachable("r1"), false);
    network.silent.delete("r1");
    links.keep(["r1"]);
    await settlePromises();
    t.equal(links.isReachable("r1"), true);
    t.equal(changes, 2);
});
