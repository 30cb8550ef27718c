/** The fleet at a glance: asks every controller for its part and puts them together. */
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
import { type ControllerContext, getOtherControllers } from "./fleetView.js";

const ASK_TIMEOUT_MS = 800;

/** One budget over all ledgers. Tokens. */
export interface BudgetStatus {
    readonly toppedUp: number;
    readonly unallocated: number;
    readonly spent: number;
    /** Open grants: reserved, or ready at a router. */
    readonly reserved: number;
    readonly unaccounted: number;
    /** What sealed ledgers held when they were replaced; not spendable. */
    readonly sealed: number;
    /** Free tokens by controller. */
    readonly shares: Readonly<Record<string, number>>;
    readonly conserved: boolean;
    /** Disks that hold the top-ups. */
    readonly replicas: number;
}

/** Everything `loomwinch status` shows. */
export interface FleetStatus {
    readonly askedAt: string;
    readonly revision: number;
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
        const asked = others.map(other => network.call(other.address, statusMethod, {}, ASK_TIMEOUT_MS));
        const answers = await Promise.allSettled(asked);
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
            connected: log.isConnectedToMajority(),
            leader: log.getLeader(),
            term: log.getTerm(),
            controllers,
            silentControllers,
            daemons: getNewestDaemons(controllers),
            budgets: this.createBudgets(controllers),
        };
    }

    /** The status part of one object: where it is in force, and for a budget its tokens. */
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
            leader: log.getLeader(),
            revision: log.state.objects.getRevision(),
            appliedIndex: log.getAppliedIndex(),
            connected: log.isConnectedToMajority(),
            daemons: this.publisher.getDaemons(),
            ledger: this.getLedgerStatus(),
        };
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

    private createBudgets(controllers: readonly ControllerStatus[]): Record<string, BudgetStatus> {
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
                replicas: this.context.log.getMajority(),
            };
        });
        return budgets;
    }
}

/** Each daemon once, as the controller that heard it last tells it. */
function getNewestDaemons(controllers: readonly ControllerStatus[]): DaemonStatus[] {
    const newest = new Map<string, DaemonStatus>();
    for (const controller of controllers) {
        for (const daemon of controller.daemons) {
            const known = newest.get(daemon.name);
            if (known === undefined || daemon.silentMs < known.silentMs) {
                newest.set(daemon.name, daemon);
            }
        }
    }
    return [...newest.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}
