/** Copies of top-ups that a zone's ledger made spendable, held in memory in case that ledger's disk is lost. */
import { getLedgerController } from "../../domain/identifiers.js";
import type { WitnessedTopUp } from "../../protocol/runMethods.js";

/** Copies held; the oldest go first. */
const COPIES_KEPT = 10_000;

export class WitnessStore {
    private readonly topUps = new Map<string, WitnessedTopUp>();

    hold(topUp: WitnessedTopUp): void {
        this.topUps.set(topUp.operationId, topUp);
        if (this.topUps.size > COPIES_KEPT) {
            this.topUps.delete(this.topUps.keys().next().value!);
        }
    }

    /** The copies held for any incarnation of a controller's ledger. */
    getOf(controller: string): WitnessedTopUp[] {
        return [...this.topUps.values()].filter(topUp => getLedgerController(topUp.ledger) === controller);
    }
}
