/** The replicated state: declared objects and budgets, changed only by the log's entries. */
import { BudgetBook, type BudgetBookSnapshot, type BudgetResult } from "./budgetBook.js";
import type { LogEntry } from "./commands.js";
import { type ChangeResult, ObjectStore, type ObjectStoreSnapshot } from "./objectStore.js";

export type ApplyResult = ChangeResult | BudgetResult;

/** The whole replicated state at one log index. */
export interface StateSnapshot {
    readonly objects: ObjectStoreSnapshot;
    readonly budgets: BudgetBookSnapshot;
}

/** Applies entries in order and answers each. */
export class DeclaredState {
    readonly objects = new ObjectStore();
    readonly budgets = new BudgetBook();

    apply(entry: LogEntry): ApplyResult {
        const command = entry.command;
        switch (command.type) {
            case "putObject":
            case "deleteObject":
                return this.objects.apply(command, entry.index);
            case "registerLedger":
                return this.budgets.applyRegisterLedger(command);
            case "creditTopUp":
                return this.budgets.applyCreditTopUp(command);
            case "allot":
                return this.budgets.applyAllot(command);
            case "reportShares":
                return this.budgets.applyReportShares(command);
            case "noop":
                return { type: "accepted", tokens: 0 };
        }
    }

    createSnapshot(): StateSnapshot {
        return { objects: this.objects.createSnapshot(), budgets: this.budgets.createSnapshot() };
    }

    loadSnapshot(snapshot: StateSnapshot): void {
        this.objects.loadSnapshot(snapshot.objects);
        this.budgets.loadSnapshot(snapshot.budgets);
    }
}
