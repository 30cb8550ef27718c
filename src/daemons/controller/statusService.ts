/** Collects the status of all controllers into a status of the fleet. */
import { isBudgetConserved } from "../../domain/budgetStore.js";
import type { DeclaredObject } from "../../domain/objects.js";
import type { PeerHandlers } from "../../ports/peer.js";
import {
    type ControllerStatus,
    type DaemonStatus,
    type LedgerStatus,
    statusMethod,
} from "../../protocol/configMethods.js";
import type { ConfigPublisher } from "./configPublisher.js";
import { type ControllerContext, getOtherControllers } from "./controllerContext.js";

const STATUS_TIMEOUT_MS = 800;

/** Token totals of a budget across all ledgers. */
export interface BudgetStatus {
    readonly toppedUp: number;
    readonly unallocated: number;
    readonly spent: number;
    /** Tokens in open grants, reserved for requests or idle at a router. */
    readonly reserved: number;
    readonly unaccounted: number;
    /** Unspent tokens of sealed ledgers, which cannot be spent. */
    readonly sealed: number;
    /** Free tokens by controller, or by ledger if its controller did not report a balance. */
    readonly shares: Readonly<Record<string, number>>;
    readonly conserved: boolean;
    /** Minimum number of disks that store a credited top-up: the quorum size. */
    readonly replicas: number;
}

/** Status of the fleet, as shown by `loomwinch status`. */
export interface FleetStatus {
    readonly askedAt: string;
    readonly revision: number;
    /** Whether the answering controller counts towards a majority and is connected to one. */
    readonly connected: boolean;
    readonly leader: string | undefined;
    readonly term: number;
    readonly controllers: readonly ControllerStatus[];
    readonly silentControllers: readonly string[];
    readonly daemons: readonly DaemonStatus[];
    readonly budgets: Readonly<Record<string, BudgetStatus>>;
}

export class StatusService {
    constructor(private readonly context: ControllerContext, private readonly publisher: ConfigPublisher) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(statusMethod, () => this.getOwnStatus());
    }

    async getStatus(): Promise<FleetStatus> {
        const { log, name, network } = this.context;
        const others = getOtherControllers(this.context);
        const calls = others.map(other => network.call(other.address, statusMethod, {}, STATUS_TIMEOUT_MS));
        const answers = await Promise.allSettled(calls);
        const controllers = [this.getOwnStatus()];
        const silentControllers: string[] = [];
        answers.forEach((answer, i) => {
            if (answer.status === "fulfilled") {
                controllers.push(answer.value);
            }
            else {
                silentControllers.push(others[i]!.name);
            }
        });
        return {
            askedAt: name,
            revision: log.state.objects.getRevision(),
            connected: this.isConnected(),
            leader: log.getLeaderName(),
            term: log.getTerm(),
            controllers,
            silentControllers,
            daemons: selectLatestDaemonStatuses(controllers),
            budgets: this.createBudgetStatuses(controllers),
        };
    }

    /** Creates an object's status: the daemons that have applied its revision and, for a budget, its token totals. */
    createObjectStatus(object: DeclaredObject, fleet: FleetStatus): unknown {
        const behind = fleet.daemons.filter(daemon => daemon.revision < object.revision).map(daemon => daemon.name);
        const inForceAt = { daemons: fleet.daemons.length - behind.length, behind };
        return object.kind === "budget" ? { inForceAt, tokens: fleet.budgets[object.name] } : { inForceAt };
    }

    private getOwnStatus(): ControllerStatus {
        const { log, name, zone } = this.context;
        return {
            name,
            zone,
            term: log.getTerm(),
            leader: log.getLeaderName(),
            revision: log.state.objects.getRevision(),
            appliedIndex: log.getAppliedIndex(),
            connected: this.isConnected(),
            daemons: this.publisher.getDaemons(),
            ledger: this.getLedgerStatus(),
        };
    }

    private isConnected(): boolean {
        const { log } = this.context;
        return log.isElectable() && log.hasCaughtUp() && log.isConnectedToMajority();
    }

    private getLedgerStatus(): LedgerStatus {
        const { ledger } = this.context;
        return {
            ledger: ledger.id,
            overspent: ledger.overspent,
            budgets: Object.fromEntries(ledger.getBudgets().map(budget => [budget, ledger.getBalance(budget)])),
            pendingTopUps: ledger.getPendingTopUps(),
        };
    }

    private createBudgetStatuses(controllers: readonly ControllerStatus[]): Record<string, BudgetStatus> {
        const budgets: Record<string, BudgetStatus> = {};
        this.context.log.state.budgets.forEachBudget((budget, account) => {
            let spent = 0;
            let reserved = 0;
            let unaccounted = 0;
            let sealed = 0;
            const shares: Record<string, number> = {};
            for (const [ledger, share] of Object.entries(account.shares)) {
                const controller = controllers.find(status => status.ledger?.ledger === ledger);
                const balance = controller?.ledger?.budgets[budget];
                if (this.context.log.state.budgets.tryGetLedger(ledger)?.sealed === true) {
                    spent += share.spentTotal;
                    sealed += share.allottedTotal - share.returnedTotal - share.spentTotal;
                }
                else if (controller !== undefined && balance !== undefined) {
                    spent += balance.spent;
                    reserved += balance.open;
                    unaccounted += balance.unaccounted;
                    shares[controller.name] = balance.free;
                }
                else {
                    spent += share.spentTotal;
                    unaccounted += share.unaccountedTotal;
                    shares[ledger] = share.allottedTotal - share.returnedTotal - share.spentTotal
                        - share.unaccountedTotal;
                }
            }
            budgets[budget] = {
                toppedUp: account.toppedUp,
                unallocated: account.unallocated,
                spent,
                reserved,
                unaccounted,
                sealed,
                shares,
                conserved: isBudgetConserved(account),
                replicas: this.context.log.getQuorumSize(),
            };
        });
        return budgets;
    }
}

/** Selects the most recently reported status of each daemon. */
function selectLatestDaemonStatuses(controllers: readonly ControllerStatus[]): DaemonStatus[] {
    const latest = new Map<string, DaemonStatus>();
    for (const controller of controllers) {
        for (const daemon of controller.daemons) {
            const existing = latest.get(daemon.name);
            if (existing === undefined || daemon.silentMs < existing.silentMs) {
                latest.set(daemon.name, daemon);
            }
        }
    }
    return [...latest.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}
