/** Fences orders to engines: stands in for engines that do not check who gives them an order. */
import type { ConfigView } from "../../domain/configView.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { EngineOrder } from "../../protocol/runMethods.js";

export class OrderGate {
    private readonly newest = new Map<string, { term: number; revision: number; }>();
    private highestTerm = 0;

    constructor(private readonly view: ConfigView) {}

    /** Refuses an order of a lower term than any seen, or of a lower revision for its upstream. */
    check(order: EngineOrder): void {
        // A sidecar that has just started knows no term yet; it learns it from a controller with a majority.
        const knownTerm = Math.max(this.highestTerm, this.view.getConfirmedTerm());
        if (this.view.getConfirmedTerm() === 0) {
            throw new RefusalError(createRefusal("notReady", "the current term is not known yet", "no", 500));
        }
        const before = this.newest.get(order.upstream);
        if (order.term < knownTerm || (before !== undefined && order.revision < before.revision)) {
            throw new RefusalError(createRefusal("termTooLow", `term ${order.term}, known ${knownTerm}`));
        }
        this.highestTerm = Math.max(this.highestTerm, order.term);
        this.newest.set(order.upstream, { term: order.term, revision: order.revision });
    }
}
