/** Guards against crediting a top-up twice that is resent after its home controller lost its disk. */
import t from "tap";
import type { ControllerContext } from "../../src/daemons/controller/controllerContext.js";
import { TopUpService } from "../../src/daemons/controller/topUpService.js";
import { BudgetStore } from "../../src/domain/budgetStore.js";
import type { Command } from "../../src/domain/commands.js";
import { Ledger, ShareSource } from "../../src/domain/ledger.js";
import { NoLog } from "../../src/ports/log.js";
import { holdWitnessMethod, listWitnessMethod, type WitnessedTopUp } from "../../src/protocol/runMethods.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";

class BudgetShareSource extends ShareSource {
    constructor(private readonly ledger: string, private readonly budgets: BudgetStore) {
        super();
    }
    override getAllotted(budget: string): number {
        return this.budgets.tryGetShare(budget, this.ledger)?.allottedTotal ?? 0;
    }
    override hasTopUp(operationId: string): boolean {
        return this.budgets.tryGetTopUp(operationId) !== undefined;
    }
}

class TopUpFixture {
    readonly budgets = new BudgetStore();
    readonly witnessed: WitnessedTopUp[] = [];
    connected = true;

    createHome(incarnation: number, startedEmpty: boolean): TopUpService {
        const id = `home#${incarnation}`;
        this.budgets.applyRegisterLedger({ type: "registerLedger", controller: "home", zone: "z", ledger: id });
        const context = {
            name: "home",
            zone: "z",
            controllers: [],
            ledger: new Ledger(id, new FakeJournal(true), new BudgetShareSource(id, this.budgets)),
            clock: new FakeClock(),
            events: new NoLog(),
            log: {
                state: {
                    budgets: this.budgets,
                    objects: {
                        tryGet: () => ({ spec: { topUpCopies: "zoneWitness" } }),
                        getAll: () => [{ spec: { sidecar: "s", box: "b", zone: "z" } }],
                    },
                },
                getQuorumSize: () => 2,
                waitApplied: () => Promise.resolve(),
                propose: (command: Command) => this.propose(command),
            },
            network: {
                call: (_address: string, method: { name: string; }, params: unknown) =>
                    this.callSidecar(method.name, params),
            },
        } as unknown as ControllerContext;
        return new TopUpService(context, startedEmpty);
    }

    private propose(command: Command): Promise<unknown> {
        if (!this.connected || command.type !== "creditTopUp") {
            return Promise.reject(new Error("no majority"));
        }
        return Promise.resolve({ index: 1, result: this.budgets.applyCreditTopUp(command) });
    }

    private callSidecar(method: string, params: unknown): Promise<unknown> {
        if (method === holdWitnessMethod.name) {
            this.witnessed.push(params as WitnessedTopUp);
        }
        return Promise.resolve(method === listWitnessMethod.name ? { topUps: this.witnessed } : {});
    }
}

const request = { operationId: "op", operator: "o", budget: "b", tokens: 500, home: "home" };

void t.test("a top-up resent after a disk loss is not credited twice", async t => {
    const fixture = new TopUpFixture();
    const first = fixture.createHome(0, false);
    fixture.connected = false;
    t.match(await first.handleTopUp(request), { spendable: true, replicas: 1, witnesses: 1 });

    const second = fixture.createHome(1, true);
    await t.rejects(second.handleTopUp(request), { message: /notReady/ }, "refused until recovery is complete");
    fixture.connected = true;
    await second.recoverTopUps();
    t.match(await second.handleTopUp(request), { spendable: true });
    const account = fixture.budgets.tryGetBudget("b")!;
    t.equal(account.toppedUp, 500);
    t.equal(
        account.shares["home#0"]!.allottedTotal,
        500,
        "credited to the sealed share, because it may have been spent before the disk loss",
    );
    t.equal(account.shares["home#1"]?.allottedTotal ?? 0, 0);
});
