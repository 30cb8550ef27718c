/** On the leader, orders sidecars to load the declared model of each upstream. Orders carry the leader's term. */
import { formatRefusal, getRefusal } from "../../domain/resultCodes.js";
import { orderMethod } from "../../protocol/runMethods.js";
import type { ControllerContext } from "./controllerContext.js";

const ORDER_TIMEOUT_MS = 2_000;

export class OrderDispatcher {
    /** Revision of each upstream's last completed order in the current term. */
    private readonly completedRevisions = new Map<string, number>();
    private term = 0;

    constructor(private readonly context: ControllerContext) {}

    /** Sends pending orders if this controller is the leader and a majority confirms it. */
    async dispatch(): Promise<void> {
        const { log } = this.context;
        if (!log.isLeader()) {
            return;
        }
        await log.confirmReadIndex();
        if (log.getTerm() !== this.term) {
            this.term = log.getTerm();
            this.completedRevisions.clear();
        }
        const due = log.state.objects.getAll("upstream").filter(upstream =>
            upstream.spec.model !== undefined && this.completedRevisions.get(upstream.name) !== upstream.revision
        );
        await Promise.all(
            due.map(upstream =>
                this.sendOrder(upstream.name, upstream.spec.sidecar, upstream.spec.model!, upstream.revision)
            ),
        );
    }

    private async sendOrder(upstream: string, sidecar: string, model: string, revision: number): Promise<void> {
        const { network, events } = this.context;
        const order = { upstream, model, term: this.term, revision };
        try {
            await network.call(sidecar, orderMethod, order, ORDER_TIMEOUT_MS);
            this.completedRevisions.set(upstream, revision);
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
