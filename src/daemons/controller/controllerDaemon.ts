/** A controller: a replica of the log, a ledger and periodic background tasks. */
import { getLedgerController } from "../../domain/identifiers.js";
import type { IntentStore } from "../../domain/intentStore.js";
import type { MembershipSource } from "../../ports/membership.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { RepeatingTask } from "../repeatingTask.js";
import type { AuditTrail } from "./auditTrail.js";
import { BillReconciler } from "./billReconciler.js";
import { ConfigPublisher } from "./configPublisher.js";
import type { ControllerContext } from "./controllerContext.js";
import { GrantCloser } from "./grantCloser.js";
import { IntentService } from "./intentService.js";
import { LedgerService } from "./ledgerService.js";
import { OperatorService } from "./operatorService.js";
import { OrderDispatcher } from "./orderDispatcher.js";
import { StatusService } from "./statusService.js";
import { TopUpService } from "./topUpService.js";

/** Times in milliseconds. */
export interface ControllerOptions {
    readonly grantLifeMs: number;
    readonly driftMarginMs: number;
    readonly sharePeriodMs: number;
    readonly heartbeatMs: number;
    readonly closePeriodMs: number;
    readonly resendWindowMs: number;
    readonly billSettleMs: number;
    readonly billKeepMs: number;
    /** Size of the ledger's journal above which it is compacted, in bytes. */
    readonly compactBytes: number;
    /** Whether the disk was empty at startup. */
    readonly startedEmpty: boolean;
    readonly membership: MembershipSource;
}

export class ControllerDaemon {
    readonly operators: OperatorService;
    private readonly ledgerService: LedgerService;
    private readonly topUps: TopUpService;
    private readonly publisher: ConfigPublisher;
    private readonly tasks: RepeatingTask[] = [];

    constructor(
        private readonly context: ControllerContext,
        handlers: PeerHandlers,
        intents: IntentStore,
        private readonly audit: AuditTrail,
        private readonly options: ControllerOptions,
    ) {
        this.ledgerService = new LedgerService(context, options.grantLifeMs, options.driftMarginMs);
        this.topUps = new TopUpService(context, options.startedEmpty);
        this.publisher = new ConfigPublisher(context);
        const status = new StatusService(context, this.publisher);
        const intentService = new IntentService(context, intents, options.resendWindowMs, options.startedEmpty);
        this.operators = new OperatorService(context, this.topUps, audit, status);
        context.log.addHandlers(handlers);
        this.ledgerService.addHandlers(handlers);
        this.topUps.addHandlers(handlers);
        this.publisher.addHandlers(handlers);
        status.addHandlers(handlers);
        intentService.addHandlers(handlers);
        context.log.onApplied((entry, result) => audit.recordEntry(entry, result));
        this.createTasks();
    }

    start(): void {
        this.context.log.start();
        this.tasks.forEach(task => task.start());
    }

    /** Closes the watches opened by operators. */
    closeWatches(): void {
        this.operators.closeWatches();
    }

    /** Stops the background tasks and the log, and closes the audit journal. */
    async stop(): Promise<void> {
        await Promise.all(this.tasks.map(task => task.stop()));
        await this.context.log.stop();
        await this.audit.close();
    }

    private createTasks(): void {
        const { sharePeriodMs, heartbeatMs, closePeriodMs } = this.options;
        const grantCloser = new GrantCloser(this.context, this.ledgerService);
        const billReconciler = new BillReconciler(this.context, this.options.billSettleMs);
        const orderDispatcher = new OrderDispatcher(this.context);
        this.addTask("register", heartbeatMs, () => this.registerLedger());
        this.addTask("top_ups", sharePeriodMs, () => this.recoverAndProposeTopUps());
        this.addTask("shares", sharePeriodMs, () => this.rebalanceShares());
        this.addTask("heartbeat", heartbeatMs, async () => this.publisher.sendHeartbeats());
        this.addTask("close_grants", closePeriodMs, () => grantCloser.closeExpired());
        this.addTask("bills", closePeriodMs, () => billReconciler.reconcile());
        this.addTask("orders", sharePeriodMs, () => orderDispatcher.dispatch());
        this.addTask(
            "membership",
            closePeriodMs,
            async () => this.publisher.setMembership(await this.options.membership.read()),
        );
        this.addTask("compact", closePeriodMs, () => this.compactJournal());
    }

    private addTask(name: string, periodMs: number, run: () => Promise<void>): void {
        this.tasks.push(new RepeatingTask(name, this.context.clock, this.context.events, periodMs, run));
    }

    /** Registers this ledger's incarnation in the replicated log, which seals earlier incarnations. */
    private async registerLedger(): Promise<void> {
        const { log, ledger, name, zone } = this.context;
        if (log.state.budgets.tryGetLedger(ledger.id) !== undefined || !log.isConnectedToMajority()) {
            return;
        }
        await log.propose({ type: "registerLedger", controller: name, zone, ledger: ledger.id });
    }

    private async recoverAndProposeTopUps(): Promise<void> {
        const { log, ledger } = this.context;
        if (!log.isConnectedToMajority() || log.state.budgets.tryGetLedger(ledger.id) === undefined) {
            return;
        }
        if (this.mayHaveLostTopUps()) {
            await this.topUps.recoverTopUps();
        }
        else {
            this.topUps.skipRecovery();
        }
        await this.topUps.proposePendingTopUps();
    }

    /** Whether this controller has an earlier, sealed ledger incarnation whose disk was lost. */
    private mayHaveLostTopUps(): boolean {
        const { log, name } = this.context;
        return log.state.budgets.getLedgers().some(record =>
            record.sealed && getLedgerController(record.ledger) === name
        );
    }

    private async rebalanceShares(): Promise<void> {
        const { log, ledger } = this.context;
        if (!log.isConnectedToMajority() || log.state.budgets.tryGetLedger(ledger.id)?.sealed !== false) {
            return;
        }
        const budgets: string[] = [];
        log.state.budgets.forEachBudget(budget => budgets.push(budget));
        for (const budget of budgets) {
            await this.ledgerService.refiller.rebalance(budget);
        }
        await this.ledgerService.reporter.report();
    }

    private async compactJournal(): Promise<void> {
        const { ledger, clock, metrics } = this.context;
        metrics.setGauge("ledger.journal_bytes", ledger.getJournalSize());
        metrics.setGauge("ledger.overspent_tokens", ledger.overspent);
        if (ledger.getJournalSize() > this.options.compactBytes) {
            ledger.removeOldBills(clock.getWallMs() - this.options.billKeepMs);
            await ledger.compact();
        }
    }
}
