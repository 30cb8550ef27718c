/** One controller's copy of the log's budgets in the small world, which may lag. */
import { BudgetBook } from "../../src/domain/budgetBook.js";
import type { Command } from "../../src/domain/commands.js";
import { ShareSource } from "../../src/domain/ledger.js";

/** How far one controller has applied the log. */
export class Replica extends ShareSource {
    readonly book = new BudgetBook();
    applied = 0;

    constructor(private readonly log: readonly Command[], public ledgerId: string) {
        super();
    }

    applyTo(index: number): void {
        while (this.applied < index) {
            applyCommand(this.book, this.log[this.applied]!);
            this.applied += 1;
        }
    }

    override getAllotted(budget: string): number {
        return this.book.tryGetShare(budget, this.ledgerId)?.allottedTotal ?? 0;
    }

    override hasTopUp(operationId: string): boolean {
        return this.book.tryGetTopUp(operationId) !== undefined;
    }
}

/** Applies a command of the log to a copy of the budgets. */
export function applyCommand(book: BudgetBook, command: Command): void {
    switch (command.type) {
        case "registerLedger":
            book.applyRegisterLedger(command);
            return;
        case "creditTopUp":
            book.applyCreditTopUp(command);
            return;
        case "allot":
            book.applyAllot(command);
            return;
        case "reportShares":
            book.applyReportShares(command);
            return;
        default:
            throw new Error(`no ${command.type} in this world`);
    }
}
