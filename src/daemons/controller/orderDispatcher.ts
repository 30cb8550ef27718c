/** While this controller leads, has each upstream's engine hold the model that is declared. Orders carry the term. */
import { formatRefusal, getRefusal } from "../../domain/resultCodes.js";
import { orderMethod } from "../../protocol/runMethods.js";
import type { ControllerContext } from "./fleetView.js";

const ORDER_TIMEOUT_MS = 2_000;

export class OrderDispatcher {
    /** Revision of each upstream whose order was carried out, in the present term. */
    private readonly done = new Map<string, number>();
    private term = 0;

    constructor(private readonly context: ControllerContext) {}

    /** One round: gives the orders that are due. A leader that cannot confirm itself gives none. */
    async dispatch(): Promise<void> {
        const { log } = this.context;
        if (!log.isLeader()) {
            return;
        }
        await log.readThroughMajority();
        if (log.getTerm() !== this.term) {
            this.term = log.getTerm();
            this.done.clear();
        }
        const due = log.state.objects.getAll("upstream").filter(upstream =>
            upstream.spec.model !== undefined && this.done.get(upstream.name) !== upstream.revision
        );
        await Promise.all(
            due.map(upstream =>
                this.give(upstream.name, upstream.spec.sidecar, upstream.spec.model!, upstream.revision)
            ),
        );
    }

    private async give(upstream: string, sidecar: string, model: string, revision: number): Promise<void> {
        const { network, events } = this.context;
        const order = { upstream, model, term: this.term, revision };
        try {
            await network.call(sidecar, orderMethod, order, ORDER_TIMEOUT_MS);
            this.done.set(upstream, revision);
            events.info("order_done", { upstream, model, term: order.term, revision });
        }
        catch (error) {
            events.warn("order_failed", {
                upstream,
                model,
                term: order.term,
                reason: formatRefusal(getRefusal(error)),
            });
        }
    }
}
