/** A controller's replica of the budgets in the escrow simulation, which may lag behind the log. */
import { BudgetStore } from "../../src/domain/budgetStore.js";
import type { Command } from "../../src/domain/commands.js";
import { ShareSource } from "../../src/domain/ledger.js";

export class BudgetReplica extends ShareSource {
    readonly budgets = new BudgetStore();
    appliedIndex = 0;

    constructor(private readonly log: readonly Command[], public ledgerId: string) {
        super();
    }

    applyTo(index: number): void {
        while (this.appliedIndex < index) {
            applyBudgetCommand(this.budgets, this.log[this.appliedIndex]!);
            this.appliedIndex += 1;
        }
    }

    override getAllotted(budget: string): number {
        return this.budgets.tryGetShare(budget, this.ledgerId)?.allottedTotal ?? 0;
    }

    override hasTopUp(operationId: string): boolean {
        return this.budgets.tryGetTopUp(operationId) !== undefined;
    }
}

export function applyBudgetCommand(budgetStore: BudgetStore, command: Command): void {
    switch (command.type) {
        case "registerLedger":
            budgetStore.applyRegisterLedger(command);
            return;
        case "creditTopUp":
            budgetStore.applyCreditTopUp(command);
            return;
        case "allot":
            budgetStore.applyAllot(command);
            return;
        case "reportShares":
            budgetStore.applyReportShares(command);
            return;
        default:
            throw new Error(`command type ${command.type} is not supported by the escrow simulation`);
    }
}
