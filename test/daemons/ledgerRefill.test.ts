/**
 * Guards against refusing draws as `budgetExhausted` while other ledgers have free tokens: when draws share a refill,
 * when returned tokens are allotted to another ledger, and when an allotment is ignored as a duplicate; and while a top-up
 * is committed that the ledger's replica has not applied yet.
 */
import t from "tap";
import type { ControllerContext } from "../../src/daemons/controller/controllerContext.js";
import { LedgerService } from "../../src/daemons/controller/ledgerService.js";
import { type BudgetResult, BudgetStore } from "../../src/domain/budgetStore.js";
import type { Command } from "../../src/domain/commands.js";
import { Ledger, ShareSource } from "../../src/domain/ledger.js";
import { createRefusal, getRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { Peer, PeerHandlers, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { drawMethod } from "../../src/protocol/ledgerMethods.js";
import { applyBudgetCommand } from "../tools/budgetReplica.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";

const BUDGET = "b";
const NEED = 34;
const ROUTERS = 3;

class FakePeer extends Peer {
    override readonly identity: PeerIdentity;
    constructor(name: string) {
        super();
        this.identity = { name, role: "router", zone: "z", incarnation: "i" };
    }
    override call<P, R>(): Promise<R> {
        void (0 as unknown as P);
        return Promise.reject(new Error("unexpected call"));
    }
    override notify(): void {}
    override onClose(): () => void {
        return () => undefined;
    }
    override isOpen(): boolean {
        return true;
    }
}

/** Calls the handlers of the other ledgers directly. */
class FakeNetwork extends PeerNetwork {
    constructor(private readonly handlers: ReadonlyMap<string, PeerHandlers>) {
        super();
    }
    override connect(): Promise<Peer> {
        return Promise.reject(new Error("unexpected connect"));
    }
    override async call<P, R>(address: string, method: PeerMethod<P, R>, params: P): Promise<R> {
        await new Promise(setImmediate);
        return this.handlers.get(address)!.handle(method.name, params, new FakePeer("controller")) as Promise<R>;
    }
}

/** Ledgers that share one budget state. Commands are applied one turn of the event loop after they are proposed. */
class LedgerFixture {
    readonly budgets = new BudgetStore();
    /** Called before a command is applied. */
    onPropose: (command: Command) => void = () => undefined;
    /** Called before a ledger's replica has caught up with the leader. */
    onConfirm: () => void = () => undefined;
    private readonly handlers = new Map<string, PeerHandlers>();
    private index = 0;

    constructor(names: readonly string[]) {
        const controllers = names.map(name => ({ name, address: name, zone: "z" }));
        for (const name of names) {
            this.budgets.applyRegisterLedger({
                type: "registerLedger",
                controller: name,
                zone: "z",
                ledger: `${name}#1`,
            });
            const service = new LedgerService(this.createContext(name, controllers), 10_000, 100);
            const handlers = new PeerHandlers();
            service.addHandlers(handlers);
            this.handlers.set(name, handlers);
        }
    }

    private createContext(name: string, controllers: ControllerContext["controllers"]): ControllerContext {
        const ledgerId = `${name}#1`;
        const { budgets } = this;
        class Source extends ShareSource {
            override getAllotted(budget: string): number {
                return budgets.tryGetShare(budget, ledgerId)?.allottedTotal ?? 0;
            }
            override hasTopUp(): boolean {
                return true;
            }
        }
        const log = {
            state: { budgets, objects: { tryGet: () => undefined } },
            isConnectedToMajority: () => true,
            waitApplied: () => Promise.resolve(),
            confirmReadIndex: () => this.confirmReadIndex(),
            propose: (command: Command) => this.propose(command),
        };
        return {
            name,
            zone: "z",
            controllers,
            log: log as unknown as ControllerContext["log"],
            ledger: new Ledger(ledgerId, new FakeJournal(true), new Source()),
            network: new FakeNetwork(this.handlers),
            clock: new FakeClock(),
            events: new NoLog(),
            metrics: new NoMetrics(),
        };
    }

    private async propose(command: Command): Promise<{ index: number; result: BudgetResult; }> {
        await new Promise(setImmediate);
        this.onPropose(command);
        const result = command.type === "allot"
            ? this.budgets.applyAllot(command)
            : { type: "accepted", tokens: 0 } as const;
        if (command.type !== "allot") {
            applyBudgetCommand(this.budgets, command);
        }
        this.index += 1;
        return { index: this.index, result };
    }

    private async confirmReadIndex(): Promise<number> {
        await new Promise(setImmediate);
        this.onConfirm();
        return this.index;
    }

    /** Credits a top-up to one ledger's share, or leaves it unallocated. */
    topUp(tokens: number, name?: string): void {
        this.budgets.applyCreditTopUp(
            {
                type: "creditTopUp",
                operationId: `o${tokens}`,
                operator: "op",
                budget: BUDGET,
                tokens,
                home: "z",
                ...(name === undefined ? {} : { ledger: `${name}#1` }),
            } as Parameters<BudgetStore["applyCreditTopUp"]>[0],
        );
    }

    /** Draws from several routers concurrently and resolves with the codes of the refusals. */
    async drawConcurrently(name: string, routers: number, need: number): Promise<string[]> {
        const draws = Array.from({ length: routers }, async (_, i) => {
            const params = { grant: `${name}#1/g${i}`, budget: BUDGET, sequence: 1, need, want: 0 };
            await this.handlers.get(name)!.handle(drawMethod.name, params, new FakePeer(`router-${i}`));
        });
        const results = await Promise.allSettled(draws);
        return results.flatMap(result => result.status === "rejected" ? [getRefusal(result.reason).code] : []);
    }
}

void t.test("concurrent draws that share a refill all succeed if another ledger has enough tokens", async t => {
    const ledgers = new LedgerFixture(["fresh", "rich"]);
    ledgers.topUp(100_000, "rich");
    t.same(await ledgers.drawConcurrently("fresh", ROUTERS, NEED), []);
});

void t.test("a draw recalls tokens again after returned tokens were allotted to another ledger", async t => {
    const ledgers = new LedgerFixture(["fresh", "rich", "third"]);
    ledgers.topUp(100_000, "rich");
    let divertedTokens = 0;
    ledgers.onPropose = command => {
        const unallocated = ledgers.budgets.tryGetBudget(BUDGET)!.unallocated;
        if (command.type === "allot" && command.ledger === "fresh#1" && divertedTokens === 0 && unallocated > 0) {
            divertedTokens = unallocated;
            const share = ledgers.budgets.tryGetShare(BUDGET, "third#1");
            const sequence = (share?.allotSequence ?? 0) + 1;
            ledgers.budgets.applyAllot({
                type: "allot",
                ledger: "third#1",
                budget: BUDGET,
                sequence,
                tokens: unallocated,
            });
        }
    };
    t.same(await ledgers.drawConcurrently("fresh", 1, NEED), []);
    t.ok(divertedTokens > 0);
});

void t.test("an allotment that was ignored because of a duplicate sequence number is retried", async t => {
    const ledgers = new LedgerFixture(["fresh", "rich"]);
    ledgers.topUp(100_000, "rich");
    let duplicateCount = 0;
    ledgers.onPropose = command => {
        if (command.type === "allot" && duplicateCount === 0) {
            duplicateCount += 1;
            ledgers.budgets.applyAllot({ ...command, tokens: 1 });
        }
    };
    t.same(await ledgers.drawConcurrently("fresh", 1, NEED), []);
});

void t.test("a draw is refused as exhausted if no ledger has enough tokens", async t => {
    const ledgers = new LedgerFixture(["fresh", "rich"]);
    ledgers.topUp(NEED * ROUTERS - 1, "rich");
    t.same(await ledgers.drawConcurrently("fresh", ROUTERS, NEED), ["budgetExhausted"]);
});

void t.test("a draw right after a top-up succeeds at a ledger whose replica has not applied it yet", async t => {
    const ledgers = new LedgerFixture(["behind", "other"]);
    ledgers.onConfirm = () => ledgers.topUp(100_000);
    t.same(await ledgers.drawConcurrently("behind", ROUTERS, NEED), []);
});

void t.test("a draw from a ledger that cannot confirm its state is refused as unreachable", async t => {
    const ledgers = new LedgerFixture(["behind", "other"]);
    ledgers.onConfirm = () => {
        throw new RefusalError(createRefusal("noMajority"));
    };
    t.same(await ledgers.drawConcurrently("behind", 1, NEED), ["budgetUnreachable"]);
});
