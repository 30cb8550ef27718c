/**
 * Compares bills that may stand in two ledgers: a request whose router could not know whether it ran elsewhere.
 * Once every other ledger has answered, one bill stands: a bill without doubt before a doubtful one, then the one of
 * the controller that comes first by name.
 */
import type { BillRecord } from "../../domain/billStore.js";
import { findBillMethod } from "../../protocol/ledgerMethods.js";
import { type ControllerContext, getOtherControllers } from "./fleetView.js";

const ASK_TIMEOUT_MS = 1_000;
const MAX_BILLS_PER_ROUND = 200;

export class BillReconciler {
    constructor(
        private readonly context: ControllerContext,
        /** Age a doubtful bill must have, so that no other run of its request is still going on. Milliseconds. */
        private readonly settleAfterMs: number,
    ) {}

    /** One round over the bills still in doubt. Those whose ledgers cannot all be reached stay for a later round. */
    async reconcile(): Promise<void> {
        const before = this.context.clock.getWallMs() - this.settleAfterMs;
        const ripe = this.context.ledger.getUncertainBills().filter(bill => bill.at <= before);
        const bills = ripe.slice(0, MAX_BILLS_PER_ROUND);
        await Promise.all(bills.map(bill => this.reconcileBill(bill).catch(() => undefined)));
    }

    private async reconcileBill(bill: BillRecord): Promise<void> {
        const { ledger, network, name } = this.context;
        const others = getOtherControllers(this.context);
        const answers = await Promise.all(others.map(async other => {
            const answer = await network.call(
                other.address,
                findBillMethod,
                { requestId: bill.requestId },
                ASK_TIMEOUT_MS,
            );
            return { controller: other.name, bill: answer.bill };
        }));
        const rival = answers.find(answer =>
            answer.bill !== undefined && !answer.bill.withdrawn && isBefore(answer.controller, answer.bill, name)
        );
        if (rival === undefined) {
            await ledger.confirmBill(bill.requestId);
        }
        else {
            await ledger.withdrawBill(bill.requestId, rival.controller);
        }
    }
}

function isBefore(controller: string, bill: BillRecord, self: string): boolean {
    return !bill.uncertain || controller < self;
}
