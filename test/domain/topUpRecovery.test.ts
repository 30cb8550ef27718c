/** A home that lost its disk recognises what it had made spendable before, by its zone's sidecars. */
import t from "tap";
import type { ControllerContext } from "../../src/daemons/controller/fleetView.js";
import { TopUpService } from "../../src/daemons/controller/topUpService.js";
import { BudgetStore } from "../../src/domain/budgetStore.js";
import type { Command } from "../../src/domain/commands.js";
import { Ledger, ShareSource } from "../../src/domain/ledger.js";
import { NoLog } from "../../src/ports/log.js";
import { holdWitnessMethod, listWitnessMethod, type WitnessedTopUp } from "../../src/protocol/runMethods.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";

class LogShare extends ShareSource {
    constructor(private readonly ledger: string, private readonly book: BudgetStore) {
        super();
    }
    override getAllotted(budget: string): number {
        return this.book.tryGetShare(budget, this.ledger)?.allottedTotal ?? 0;
    }
    override hasTopUp(operationId: string): boolean {
        return this.book.tryGetTopUp(operationId) !== undefined;
    }
}

class World {
    readonly book = new BudgetStore();
    readonly witnessed: WitnessedTopUp[] = [];
    connected = true;

    createHome(incarnation: number, startedEmpty: boolean): TopUpService {
        const id = `home#${incarnation}`;
        this.book.applyRegisterLedger({ type: "registerLedger", controller: "home", zone: "z", ledger: id });
        const context = {
            name: "home",
            zone: "z",
            controllers: [],
            ledger: new Ledger(id, new FakeJournal(true), new LogShare(id, this.book)),
            clock: new FakeClock(),
            events: new NoLog(),
            log: {
                state: {
                    budgets: this.book,
                    objects: {
                        tryGet: () => ({ spec: { topUpCopies: "zoneWitness" } }),
                        getAll: () => [{ spec: { sidecar: "s", box: "b", zone: "z" } }],
                    },
                },
                getMajority: () => 2,
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
        return Promise.resolve({ index: 1, result: this.book.applyCreditTopUp(command) });
    }

    private callSidecar(method: string, params: unknown): Promise<unknown> {
        if (method === holdWitnessMethod.name) {
            this.witnessed.push(params as WitnessedTopUp);
        }
        return Promise.resolve(method === listWitnessMethod.name ? { topUps: this.witnessed } : {});
    }
}

const request = { operationId: "op", operator: "o", budget: "b", tokens: 500, home: "home" };

void t.test("a resend to a home with a new disk is not credited again", async t => {
    const world = new World();
    const first = world.createHome(0, false);
    world.connected = false;
    t.match(await first.topUp(request), { spendable: true, replicas: 1, witnesses: 1 });

    const second = world.createHome(1, true);
    await t.rejects(second.topUp(request), { message: /notReady/ }, "not before it knows what it had made spendable");
    world.connected = true;
    await second.recoverWitnessed();
    t.match(await second.topUp(request), { spendable: true });
    const account = world.book.tryGetBudget("b")!;
    t.equal(account.toppedUp, 500);
    t.equal(
        account.shares["home#0"]!.allottedTotal,
        500,
        "it lies in the sealed share: the lost disk may have spent it",
    );
    t.equal(account.shares["home#1"]?.allottedTotal ?? 0, 0);
});
