/** In-memory copies of the top-ups that a zone's ledger committed, used to restore them if its disk is lost. */
import { getLedgerController } from "../../domain/identifiers.js";
import type { WitnessedTopUp } from "../../protocol/runMethods.js";

/** The oldest copies are evicted first. */
const MAX_COPIES = 10_000;

export class WitnessStore {
    private readonly topUps = new Map<string, WitnessedTopUp>();

    add(topUp: WitnessedTopUp): void {
        this.topUps.set(topUp.operationId, topUp);
        if (this.topUps.size > MAX_COPIES) {
            this.topUps.delete(this.topUps.keys().next().value!);
        }
    }

    /** Returns the copies for all incarnations of a controller's ledger. */
    listByController(controller: string): WitnessedTopUp[] {
        return [...this.topUps.values()].filter(topUp => getLedgerController(topUp.ledger) === controller);
    }
}
