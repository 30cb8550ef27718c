/**
 * A small world of ledgers, routers and sidecars around the real ledger, grant and budget code: messages are lost,
 * doubled and late, processes crash, disks are lost. What was really consumed is counted apart from all books.
 */
import type { ControllerContext } from "../../src/daemons/controller/fleetView.js";
import { GrantCloser } from "../../src/daemons/controller/grantCloser.js";
import type { UsageRecord } from "../../src/domain/billBook.js";
import { BudgetBook, checkBudgetConservation } from "../../src/domain/budgetBook.js";
import type { Command } from "../../src/domain/commands.js";
import { getGrantFree, GrantBook, type Reservation } from "../../src/domain/grantBook.js";
import { getGrantLedger } from "../../src/domain/identifiers.js";
import { checkLedgerConservation, Ledger } from "../../src/domain/ledger.js";
import type { LedgerEvent } from "../../src/domain/ledgerEvents.js";
import { NoLog } from "../../src/ports/log.js";
import type { CloseGrantAnswer } from "../../src/protocol/runMethods.js";
import { applyCommand, Replica } from "./escrowReplica.js";
import { FakeClock, FakeJournal, settlePromises } from "./fakes.js";

const BUDGET = "budget";
const GRANT_LIFE_MS = 100;
const DRIFT_MS = 20;

/** Steps by their place in `step`, the common ones several times. Disks are lost rarely, messages mostly arrive. */
const WEIGHTED = [
    0,
    1,
    1,
    1,
    1,
    2,
    2,
    2,
    2,
    2,
    3,
    3,
    3,
    4,
    4,
    5,
    6,
    7,
    7,
    8,
    9,
    10,
    11,
    11,
    11,
    11,
    11,
    11,
    11,
    11,
    13,
    14,
    15,
    16,
    16,
    17,
    17,
    18,
    18,
    18,
    18,
    19,
    20,
    21,
];

interface WorldController {
    readonly name: string;
    replica: Replica;
    journal: FakeJournal;
    ledger: Ledger;
    deadlines: Map<string, number>;
    incarnation: number;
}

interface WorldRun {
    readonly runId: string;
    readonly grant: string;
    readonly tokens: number;
    readonly router: WorldRouter;
    readonly reservation: Reservation;
}

interface WorldRouter {
    readonly name: string;
    book: GrantBook;
    generation: number;
}

interface WorldSidecar {
    readonly name: string;
    incarnation: number;
    closed: Set<string>;
    runs: WorldRun[];
    outbox: UsageRecord[];
}

export class EscrowWorld {
    readonly clock = new FakeClock();
    private readonly log: Command[] = [];
    private readonly truth = new BudgetBook();
    private readonly controllers: WorldController[] = [];
    private readonly routers: WorldRouter[] = [];
    private readonly sidecars: WorldSidecar[] = [];
    private messages: (() => void | Promise<void>)[] = [];
    private serial = 0;
    /** Tokens really consumed by runs. */
    consumed = 0;

    constructor() {
        for (const name of ["a", "b"]) {
            this.controllers.push(this.createController(name));
        }
        for (const name of ["r1", "r2"]) {
            this.routers.push({ name, book: this.createBook(name), generation: 0 });
        }
        for (const name of ["s1", "s2"]) {
            this.sidecars.push({ name, incarnation: 0, closed: new Set(), runs: [], outbox: [] });
        }
    }

    /** A top-up and an allotment that have arrived everywhere, so that a world does not begin empty. */
    async prime(): Promise<void> {
        for (const controller of this.controllers) {
            this.propose({
                type: "creditTopUp",
                operationId: `prime-${controller.name}`,
                operator: "o",
                budget: BUDGET,
                tokens: 1_000,
                home: controller.name,
            });
            this.propose({ type: "allot", ledger: controller.ledger.id, budget: BUDGET, sequence: 1, tokens: 600 });
        }
        for (const controller of this.controllers) {
            controller.replica.applyTo(this.log.length);
        }
        await settlePromises();
    }

    /** Carries out one step, chosen by numbers. */
    async step(operation: number, x: number, y: number, tokens: number): Promise<void> {
        const controller = this.controllers[x % 2]!;
        const router = this.routers[y % 2]!;
        const sidecar = this.sidecars[x % 2]!;
        const steps: (() => void | Promise<void>)[] = [
            () => this.topUp(controller, tokens, y % 3),
            () => this.draw(router, controller, tokens),
            () => this.startRun(router, sidecar, 1 + tokens % 40),
            () => this.endRun(sidecar, tokens),
            () => this.flush(sidecar),
            () => this.returnExpired(router),
            () => this.clock.advance(tokens),
            () => this.closeExpired(controller),
            () => this.crashController(controller),
            () => this.crashRouter(router),
            () => this.restartSidecar(sidecar, tokens),
            () => this.deliver(tokens),
            () => undefined,
            () => this.loseMessage(tokens),
            () => this.doubleMessage(tokens),
            () => this.giveBack(controller, tokens),
            () => this.allot(controller, tokens),
            () => controller.replica.applyTo(Math.min(this.log.length, controller.replica.applied + 1 + y % 3)),
            () => controller.journal.sync(),
            () => this.loseDisk(controller),
            () => this.resendTopUp(controller, tokens),
            () => controller.ledger.compact(),
        ];
        await steps[WEIGHTED[operation % WEIGHTED.length]!]!();
        await settlePromises();
    }

    /** What must hold after each step; answers what does not. */
    findViolation(): string | undefined {
        const account = this.truth.tryGetBudget(BUDGET);
        if (account !== undefined && !checkBudgetConservation(account)) {
            return "the log's budget is not conserved";
        }
        const localCredit = this.controllers.reduce((sum, controller) => sum + this.getLocalCredit(controller), 0);
        const toppedUp = (account?.toppedUp ?? 0) + localCredit;
        if (this.consumed > toppedUp) {
            return `overspent: ${this.consumed} of ${toppedUp}`;
        }
        for (const controller of this.controllers) {
            if (!checkLedgerConservation(controller.ledger)) {
                return `ledger ${controller.ledger.id} is not conserved: ${
                    JSON.stringify(controller.ledger.getBalance(BUDGET))
                }`;
            }
            if (controller.ledger.overspent !== 0) {
                return `ledger ${controller.ledger.id} overspent ${controller.ledger.overspent}`;
            }
        }
        return undefined;
    }

    private getLocalCredit(controller: WorldController): number {
        return controller.ledger.getPendingTopUps()
            .filter(topUp => topUp.spendable && this.truth.tryGetTopUp(topUp.operationId) === undefined)
            .reduce((sum, topUp) => sum + topUp.tokens, 0);
    }

    private createController(name: string): WorldController {
        const id = `${name}#0`;
        this.propose({ type: "registerLedger", controller: name, zone: name, ledger: id });
        const replica = new Replica(this.log, id);
        const journal = new FakeJournal(false);
        return {
            name,
            replica,
            journal,
            ledger: new Ledger(id, journal, replica),
            deadlines: new Map(),
            incarnation: 0,
        };
    }

    private createBook(router: string): GrantBook {
        return new GrantBook(router, this.clock, () => undefined);
    }

    private propose(command: Command): void {
        this.log.push(command);
        applyCommand(this.truth, command);
    }

    /** Majority only, or spendable in the zone at once; the log learns of it by a message that may be lost and sent again. */
    private async topUp(controller: WorldController, tokens: number, kind: number): Promise<void> {
        this.serial += 1;
        const operationId = `t${this.serial}`;
        const copies = kind === 0 ? "zoneWitness" as const : "majority" as const;
        const stored = { operationId, operator: "o", budget: BUDGET, tokens: tokens + 1, copies, spendable: false };
        void controller.ledger.storeTopUp(stored);
        if (copies === "zoneWitness") {
            controller.journal.sync();
            void controller.ledger.markTopUpSpendable(operationId);
            controller.journal.sync();
        }
        this.resendTopUp(controller, 0);
    }

    private resendTopUp(controller: WorldController, which: number): void {
        const pending = controller.ledger.getPendingTopUps();
        const topUp = pending[which % Math.max(1, pending.length)];
        if (topUp !== undefined) {
            const { operationId, budget, tokens } = topUp;
            const ledger = topUp.copies === "zoneWitness" ? { ledger: controller.ledger.id } : {};
            this.send(() =>
                this.propose({
                    type: "creditTopUp",
                    operationId,
                    operator: "o",
                    budget,
                    tokens,
                    home: controller.name,
                    ...ledger,
                })
            );
        }
    }

    private draw(router: WorldRouter, controller: WorldController, tokens: number): void {
        const { ledger, journal } = controller;
        const record = controller.replica.book.tryGetLedger(ledger.id);
        if (record === undefined || record.sealed) {
            return;
        }
        const grant = router.book.tryGetDrawable(BUDGET, ledger.id, 0)
            ?? router.book.open(BUDGET, ledger.id, controller.name, GRANT_LIFE_MS);
        grant.drawSequence += 1;
        const sequence = grant.drawSequence;
        const generation = router.generation;
        this.send(() => {
            if (controller.ledger !== ledger) {
                return;
            }
            void ledger.draw(grant.id, router.name, BUDGET, sequence, 1, tokens).then(result => {
                if (!controller.deadlines.has(grant.id)) {
                    controller.deadlines.set(grant.id, this.clock.getMonotonicMs() + GRANT_LIFE_MS + DRIFT_MS);
                }
                this.send(() => {
                    if (result.type === "granted" && router.generation === generation) {
                        grant.granted = Math.max(grant.granted, result.grantedTotal);
                    }
                });
            });
            void journal;
        });
    }

    private startRun(router: WorldRouter, sidecar: WorldSidecar, tokens: number): void {
        const reservation = router.book.tryReserve(BUDGET, tokens);
        if (reservation === undefined) {
            return;
        }
        this.serial += 1;
        const run: WorldRun = { runId: `q${this.serial}#1`, grant: reservation.grant.id, tokens, router, reservation };
        if (!reservation.isUsable(this.clock.getMonotonicMs()) || sidecar.closed.has(run.grant)) {
            reservation.settle(0);
            return;
        }
        sidecar.runs.push(run);
    }

    private endRun(sidecar: WorldSidecar, tokens: number): void {
        const run = sidecar.runs.shift();
        if (run === undefined) {
            return;
        }
        const used = tokens % (run.tokens + 1);
        this.consumed += used;
        sidecar.outbox.push(this.createRecord(run, used));
        const generation = run.router.generation;
        this.send(() => {
            if (run.router.generation === generation) {
                run.reservation.settle(used);
            }
        });
    }

    private createRecord(run: WorldRun, tokens: number): UsageRecord {
        return {
            requestId: run.runId.split("#")[0]!,
            runId: run.runId,
            account: "account",
            service: "service",
            budget: BUDGET,
            grant: run.grant,
            promptTokens: 0,
            outputTokens: tokens,
            uncertain: false,
            at: this.clock.getWallMs(),
        };
    }

    private flush(sidecar: WorldSidecar): void {
        const incarnation = sidecar.incarnation;
        for (const record of sidecar.outbox) {
            const controller = this.controllers.find(candidate =>
                getGrantLedger(record.grant).startsWith(`${candidate.name}#`)
            )!;
            this.send(() => {
                void controller.ledger.recordUsage(record).then(() => {
                    this.send(() => {
                        if (sidecar.incarnation === incarnation) {
                            sidecar.outbox = sidecar.outbox.filter(other => other !== record);
                        }
                    });
                });
            });
        }
    }

    private returnExpired(router: WorldRouter): void {
        const now = this.clock.getMonotonicMs();
        for (const grant of router.book.getAll().filter(candidate => now >= candidate.expiresAt)) {
            grant.returned += getGrantFree(grant);
            const controller = this.controllers.find(candidate => candidate.name === grant.controller)!;
            const returned = grant.returned;
            this.send(() => void controller.ledger.returnGrant(grant.id, returned));
        }
    }

    /** The real closer, over sidecars that answer at once or not at all. */
    private async closeExpired(controller: WorldController): Promise<void> {
        const upstreams = this.sidecars.map(sidecar => ({
            name: sidecar.name,
            spec: { sidecar: sidecar.name, box: sidecar.name, zone: "z" },
        }));
        const network = {
            call: (address: string, _method: unknown, params: { grants: string[]; }): Promise<CloseGrantAnswer> => {
                const sidecar = this.sidecars.find(candidate => candidate.name === address)!;
                params.grants.forEach(grant => sidecar.closed.add(grant));
                const asked = new Set(params.grants);
                return Promise.resolve({
                    box: sidecar.name,
                    incarnation: String(sidecar.incarnation),
                    active: sidecar.runs.map(run => run.grant).filter(grant => asked.has(grant)),
                    records: sidecar.outbox.filter(record => asked.has(record.grant)),
                });
            },
        };
        const context = {
            ledger: controller.ledger,
            network,
            events: new NoLog(),
            log: { state: { objects: { getAll: () => upstreams } } },
        } as unknown as ControllerContext;
        const service = {
            isExpired: (grant: string): boolean => this.isExpired(controller, grant),
            forgetGrant: (grant: string): boolean => controller.deadlines.delete(grant),
        };
        const closing = new GrantCloser(context, service as never).closeExpired();
        for (let i = 0; i < 50; i++) {
            controller.journal.sync();
            await settlePromises();
        }
        await closing;
    }

    private isExpired(controller: WorldController, grant: string): boolean {
        const deadline = controller.deadlines.get(grant);
        if (deadline === undefined) {
            controller.deadlines.set(grant, this.clock.getMonotonicMs() + GRANT_LIFE_MS + DRIFT_MS);
            return false;
        }
        return this.clock.getMonotonicMs() > deadline;
    }

    private crashController(controller: WorldController): void {
        const records = controller.journal.crash() as LedgerEvent[];
        controller.ledger = new Ledger(controller.ledger.id, controller.journal, controller.replica, records);
        controller.deadlines = new Map();
    }

    /** An empty disk: a new incarnation, which works once the log has sealed the old one. */
    private loseDisk(controller: WorldController): void {
        if (controller.incarnation >= 2 || this.getLocalCredit(controller) > 0) {
            return;
        }
        controller.incarnation += 1;
        const id = `${controller.name}#${controller.incarnation}`;
        this.propose({ type: "registerLedger", controller: controller.name, zone: controller.name, ledger: id });
        controller.replica = new Replica(this.log, id);
        controller.journal = new FakeJournal(false);
        controller.ledger = new Ledger(id, controller.journal, controller.replica);
        controller.deadlines = new Map();
    }

    private crashRouter(router: WorldRouter): void {
        router.generation += 1;
        router.book = this.createBook(router.name);
    }

    /** What its runs had consumed is really consumed; its records are gone, and its routers hold what they reserved. */
    private restartSidecar(sidecar: WorldSidecar, tokens: number): void {
        for (const run of sidecar.runs) {
            const used = tokens % (run.tokens + 1);
            this.consumed += used;
            run.reservation.hold(0);
        }
        sidecar.runs = [];
        sidecar.outbox = [];
        sidecar.closed = new Set();
        sidecar.incarnation += 1;
    }

    private giveBack(controller: WorldController, tokens: number): void {
        const { ledger } = controller;
        void ledger.giveBack(BUDGET, tokens).then(() => {
            const balance = ledger.getBalance(BUDGET);
            const share = {
                budget: BUDGET,
                returnedTotal: balance.returned,
                spentTotal: balance.spent,
                unaccountedTotal: balance.unaccounted,
                demand: 0,
            };
            this.send(() => this.propose({ type: "reportShares", ledger: ledger.id, shares: [share] }));
        });
    }

    private allot(controller: WorldController, tokens: number): void {
        const ledger = controller.ledger.id;
        const sequence = (controller.replica.book.tryGetShare(BUDGET, ledger)?.allotSequence ?? 0) + 1;
        this.send(() => this.propose({ type: "allot", ledger, budget: BUDGET, sequence, tokens: tokens + 1 }));
    }

    private send(message: () => void | Promise<void>): void {
        this.messages.push(message);
    }

    private async deliver(which: number): Promise<void> {
        if (this.messages.length > 0) {
            await this.messages.splice(which % this.messages.length, 1)[0]!();
        }
    }

    private loseMessage(which: number): void {
        if (this.messages.length > 0) {
            this.messages.splice(which % this.messages.length, 1);
        }
    }

    private async doubleMessage(which: number): Promise<void> {
        if (this.messages.length > 0) {
            await this.messages[which % this.messages.length]!();
        }
    }
}
