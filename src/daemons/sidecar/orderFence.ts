/** Fences orders by term and revision, on behalf of engines that accept an order from any sender. */
import type { ConfigView } from "../../domain/configView.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { EngineOrder } from "../../protocol/runMethods.js";

export class OrderFence {
    private readonly lastOrders = new Map<string, { term: number; revision: number; }>();
    private highestTerm = 0;

    constructor(private readonly view: ConfigView) {}

    /** Rejects an order whose term is lower than the highest known, or whose revision is lower than its upstream's last. */
    check(order: EngineOrder): void {
        // After a start the term is unknown until a controller that holds a majority reports it.
        const knownTerm = Math.max(this.highestTerm, this.view.getConfirmedTerm());
        if (this.view.getConfirmedTerm() === 0) {
            throw new RefusalError(createRefusal("notReady", "the current term is not known yet", "no", 500));
        }
        const lastOrder = this.lastOrders.get(order.upstream);
        if (order.term < knownTerm || (lastOrder !== undefined && order.revision < lastOrder.revision)) {
            throw new RefusalError(
                createRefusal(
                    "termTooLow",
                    `term ${order.term} or its revision is outdated; current term ${knownTerm}`,
                ),
            );
        }
        this.highestTerm = Math.max(this.highestTerm, order.term);
        this.lastOrders.set(order.upstream, { term: order.term, revision: order.revision });
    }
}
