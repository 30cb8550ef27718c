/**
 * Simulates controllers, routers and sidecars around the production ledger, grant and budget code, with lost, duplicated
 * and delayed messages, crashes and lost disks. Counts the tokens consumed by runs independently of that code.
 */
import type { ControllerContext } from "../../src/daemons/controller/controllerContext.js";
import { GrantCloser } from "../../src/daemons/controller/grantCloser.js";
import type { UsageRecord } from "../../src/domain/billStore.js";
import { BudgetStore, isBudgetConserved } from "../../src/domain/budgetStore.js";
import type { Command } from "../../src/domain/commands.js";
import { computeFreeGrantTokens, GrantStore, type Reservation } from "../../src/domain/grantStore.js";
import { getGrantLedger } from "../../src/domain/identifiers.js";
import { isLedgerConserved, Ledger } from "../../src/domain/ledger.js";
import type { LedgerEvent } from "../../src/domain/ledgerEvents.js";
import { NoLog } from "../../src/ports/log.js";
import type { CloseGrantAnswer } from "../../src/protocol/runMethods.js";
import { applyBudgetCommand, BudgetReplica } from "./budgetReplica.js";
import { FakeClock, FakeJournal, settlePromises } from "./fakes.js";

const BUDGET = "budget";
const GRANT_TTL_MS = 100;
const CLOCK_DRIFT_MS = 20;

/** Indexes of the steps in `runStep`. Repeated entries make a step more likely. */
const WEIGHTED_STEPS = [
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

interface ControllerState {
    readonly name: string;
    replica: BudgetReplica;
    journal: FakeJournal;
    ledger: Ledger;
    /** Monotonic expiry time in milliseconds by grant id. */
    deadlines: Map<string, number>;
    incarnation: number;
}

interface RunState {
    readonly runId: string;
    readonly grant: string;
    readonly tokens: number;
    readonly router: RouterState;
    readonly reservation: Reservation;
}

interface RouterState {
    readonly name: string;
    grants: GrantStore;
    generation: number;
}

interface SidecarState {
    readonly name: string;
    incarnation: number;
    closedGrants: Set<string>;
    runs: RunState[];
    usageOutbox: UsageRecord[];
}

export class EscrowSimulation {
    readonly clock = new FakeClock();
    private readonly log: Command[] = [];
    private readonly committedBudgets = new BudgetStore();
    private readonly controllers: ControllerState[] = [];
    private readonly routers: RouterState[] = [];
    private readonly sidecars: SidecarState[] = [];
    private messages: (() => void | Promise<void>)[] = [];
    private serial = 0;
    /** Tokens consumed by runs, counted independently of the ledgers. */
    consumedTokens = 0;

    constructor() {
        for (const name of ["a", "b"]) {
            this.controllers.push(this.createController(name));
        }
        for (const name of ["r1", "r2"]) {
            this.routers.push({ name, grants: this.createGrantStore(name), generation: 0 });
        }
        for (const name of ["s1", "s2"]) {
            this.sidecars.push({ name, incarnation: 0, closedGrants: new Set(), runs: [], usageOutbox: [] });
        }
    }

    /** Commits and replicates a top-up and an allotment for each controller. */
    async seedBudgets(): Promise<void> {
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

    /** Runs the step selected by `operation`; `x` and `y` select the processes that take part. */
    async runStep(operation: number, x: number, y: number, tokens: number): Promise<void> {
        const controller = this.controllers[x % 2]!;
        const router = this.routers[y % 2]!;
        const sidecar = this.sidecars[x % 2]!;
        const steps: (() => void | Promise<void>)[] = [
            () => this.storeTopUp(controller, tokens, y % 3),
            () => this.drawGrant(router, controller, tokens),
            () => this.startRun(router, sidecar, 1 + tokens % 40),
            () => this.endRun(sidecar, tokens),
            () => this.sendUsageRecords(sidecar),
            () => this.returnExpired(router),
            () => this.clock.advance(tokens),
            () => this.closeExpired(controller),
            () => this.crashController(controller),
            () => this.crashRouter(router),
            () => this.restartSidecar(sidecar, tokens),
            () => this.deliverMessage(tokens),
            () => undefined,
            () => this.dropMessage(tokens),
            () => this.duplicateMessage(tokens),
            () => this.returnFreeTokens(controller, tokens),
            () => this.proposeAllotment(controller, tokens),
            () => controller.replica.applyTo(Math.min(this.log.length, controller.replica.appliedIndex + 1 + y % 3)),
            () => controller.journal.sync(),
            () => this.loseDisk(controller),
            () => this.sendPendingTopUp(controller, tokens),
            () => controller.ledger.compact(),
        ];
        await steps[WEIGHTED_STEPS[operation % WEIGHTED_STEPS.length]!]!();
        await settlePromises();
    }

    /** Checks the invariants and describes the first violation, if any. */
    findViolation(): string | undefined {
        const account = this.committedBudgets.tryGetBudget(BUDGET);
        if (account !== undefined && !isBudgetConserved(account)) {
            return "replicated budget is not conserved";
        }
        const localCredit = this.controllers.reduce((sum, controller) => sum + this.sumLocalCredit(controller), 0);
        const toppedUp = (account?.toppedUp ?? 0) + localCredit;
        if (this.consumedTokens > toppedUp) {
            return `budget overspent: ${this.consumedTokens} tokens consumed of ${toppedUp} topped up`;
        }
        for (const controller of this.controllers) {
            if (!isLedgerConserved(controller.ledger)) {
                return `ledger ${controller.ledger.id} is not conserved: ${
                    JSON.stringify(controller.ledger.getBalance(BUDGET))
                }`;
            }
            if (controller.ledger.overspent !== 0) {
                return `ledger ${controller.ledger.id} overspent its grants by ${controller.ledger.overspent} tokens`;
            }
        }
        return undefined;
    }

    private sumLocalCredit(controller: ControllerState): number {
        return controller.ledger.getPendingTopUps()
            .filter(topUp => topUp.spendable && this.committedBudgets.tryGetTopUp(topUp.operationId) === undefined)
            .reduce((sum, topUp) => sum + topUp.tokens, 0);
    }

    private createController(name: string): ControllerState {
        const id = `${name}#0`;
        this.propose({ type: "registerLedger", controller: name, zone: name, ledger: id });
        const replica = new BudgetReplica(this.log, id);
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

    private createGrantStore(router: string): GrantStore {
        return new GrantStore(router, this.clock, () => undefined);
    }

    private propose(command: Command): void {
        this.log.push(command);
        applyBudgetCommand(this.committedBudgets, command);
    }

    /** Stores a top-up and sends it to the log. A `kind` of 0 makes it spendable before the log contains it. */
    private async storeTopUp(controller: ControllerState, tokens: number, kind: number): Promise<void> {
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
        this.sendPendingTopUp(controller, 0);
    }

    private sendPendingTopUp(controller: ControllerState, selector: number): void {
        const pending = controller.ledger.getPendingTopUps();
        const topUp = pending[selector % Math.max(1, pending.length)];
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

    private drawGrant(router: RouterState, controller: ControllerState, tokens: number): void {
        const { ledger, journal } = controller;
        const record = controller.replica.budgets.tryGetLedger(ledger.id);
        if (record === undefined || record.sealed) {
            return;
        }
        const grant = router.grants.tryGetDrawable(BUDGET, ledger.id, 0)
            ?? router.grants.openGrant(BUDGET, ledger.id, controller.name, GRANT_TTL_MS);
        grant.drawSequence += 1;
        const sequence = grant.drawSequence;
        const generation = router.generation;
        this.send(() => {
            if (controller.ledger !== ledger) {
                return;
            }
            void ledger.draw(grant.id, router.name, BUDGET, sequence, 1, tokens).then(result => {
                if (!controller.deadlines.has(grant.id)) {
                    controller.deadlines.set(grant.id, this.clock.getMonotonicMs() + GRANT_TTL_MS + CLOCK_DRIFT_MS);
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

    private startRun(router: RouterState, sidecar: SidecarState, tokens: number): void {
        const reservation = router.grants.tryReserve(BUDGET, tokens);
        if (reservation === undefined) {
            return;
        }
        this.serial += 1;
        const run: RunState = { runId: `q${this.serial}#1`, grant: reservation.grant.id, tokens, router, reservation };
        if (!reservation.isUsable(this.clock.getMonotonicMs()) || sidecar.closedGrants.has(run.grant)) {
            reservation.settle(0);
            return;
        }
        sidecar.runs.push(run);
    }

    private endRun(sidecar: SidecarState, tokens: number): void {
        const run = sidecar.runs.shift();
        if (run === undefined) {
            return;
        }
        const usedTokens = tokens % (run.tokens + 1);
        this.consumedTokens += usedTokens;
        sidecar.usageOutbox.push(this.createUsageRecord(run, usedTokens));
        const generation = run.router.generation;
        this.send(() => {
            if (run.router.generation === generation) {
                run.reservation.settle(usedTokens);
            }
        });
    }

    private createUsageRecord(run: RunState, tokens: number): UsageRecord {
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

    private sendUsageRecords(sidecar: SidecarState): void {
        const incarnation = sidecar.incarnation;
        for (const record of sidecar.usageOutbox) {
            const controller = this.controllers.find(candidate =>
                getGrantLedger(record.grant).startsWith(`${candidate.name}#`)
            )!;
            this.send(() => {
                void controller.ledger.recordUsage(record).then(() => {
                    this.send(() => {
                        if (sidecar.incarnation === incarnation) {
                            sidecar.usageOutbox = sidecar.usageOutbox.filter(other => other !== record);
                        }
                    });
                });
            });
        }
    }

    private returnExpired(router: RouterState): void {
        const now = this.clock.getMonotonicMs();
        for (const grant of router.grants.getAll().filter(candidate => now >= candidate.expiresAt)) {
            grant.returned += computeFreeGrantTokens(grant);
            const controller = this.controllers.find(candidate => candidate.name === grant.controller)!;
            const returned = grant.returned;
            this.send(() => void controller.ledger.returnGrant(grant.id, returned));
        }
    }

    /** Runs the production grant closer against sidecars that respond immediately. */
    private async closeExpired(controller: ControllerState): Promise<void> {
        const upstreams = this.sidecars.map(sidecar => ({
            name: sidecar.name,
            spec: { sidecar: sidecar.name, box: sidecar.name, zone: "z" },
        }));
        const network = {
            call: (address: string, _method: unknown, params: { grants: string[]; }): Promise<CloseGrantAnswer> => {
                const sidecar = this.sidecars.find(candidate => candidate.name === address)!;
                params.grants.forEach(grant => sidecar.closedGrants.add(grant));
                const asked = new Set(params.grants);
                return Promise.resolve({
                    box: sidecar.name,
                    incarnation: String(sidecar.incarnation),
                    active: sidecar.runs.map(run => run.grant).filter(grant => asked.has(grant)),
                    records: sidecar.usageOutbox.filter(record => asked.has(record.grant)),
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

    private isExpired(controller: ControllerState, grant: string): boolean {
        const deadline = controller.deadlines.get(grant);
        if (deadline === undefined) {
            controller.deadlines.set(grant, this.clock.getMonotonicMs() + GRANT_TTL_MS + CLOCK_DRIFT_MS);
            return false;
        }
        return this.clock.getMonotonicMs() > deadline;
    }

    private crashController(controller: ControllerState): void {
        const records = controller.journal.crash() as LedgerEvent[];
        controller.ledger = new Ledger(controller.ledger.id, controller.journal, controller.replica, records);
        controller.deadlines = new Map();
    }

    /** Replaces the disk with an empty one, which starts a new incarnation and seals the previous one. */
    private loseDisk(controller: ControllerState): void {
        if (controller.incarnation >= 2 || this.sumLocalCredit(controller) > 0) {
            return;
        }
        controller.incarnation += 1;
        const id = `${controller.name}#${controller.incarnation}`;
        this.propose({ type: "registerLedger", controller: controller.name, zone: controller.name, ledger: id });
        controller.replica = new BudgetReplica(this.log, id);
        controller.journal = new FakeJournal(false);
        controller.ledger = new Ledger(id, controller.journal, controller.replica);
        controller.deadlines = new Map();
    }

    private crashRouter(router: RouterState): void {
        router.generation += 1;
        router.grants = this.createGrantStore(router.name);
    }

    /** Counts what the sidecar's runs consumed, loses its usage records and puts the runs' reservations on hold. */
    private restartSidecar(sidecar: SidecarState, tokens: number): void {
        for (const run of sidecar.runs) {
            const usedTokens = tokens % (run.tokens + 1);
            this.consumedTokens += usedTokens;
            run.reservation.settlePartially(0);
        }
        sidecar.runs = [];
        sidecar.usageOutbox = [];
        sidecar.closedGrants = new Set();
        sidecar.incarnation += 1;
    }

    private returnFreeTokens(controller: ControllerState, tokens: number): void {
        const { ledger } = controller;
        void ledger.returnFreeTokens(BUDGET, tokens).then(() => {
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

    private proposeAllotment(controller: ControllerState, tokens: number): void {
        const ledger = controller.ledger.id;
        const sequence = (controller.replica.budgets.tryGetShare(BUDGET, ledger)?.allotSequence ?? 0) + 1;
        this.send(() => this.propose({ type: "allot", ledger, budget: BUDGET, sequence, tokens: tokens + 1 }));
    }

    private send(message: () => void | Promise<void>): void {
        this.messages.push(message);
    }

    private async deliverMessage(selector: number): Promise<void> {
        if (this.messages.length > 0) {
            await this.messages.splice(selector % this.messages.length, 1)[0]!();
        }
    }

    private dropMessage(selector: number): void {
        if (this.messages.length > 0) {
            this.messages.splice(selector % this.messages.length, 1);
        }
    }

    private async duplicateMessage(selector: number): Promise<void> {
        if (this.messages.length > 0) {
            await this.messages[selector % this.messages.length]!();
        }
    }
}
