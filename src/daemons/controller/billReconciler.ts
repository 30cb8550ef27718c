/**
 * Withdraws duplicate bills of requests that may have run more than once and been billed by several ledgers.
 * A bill is confirmed or withdrawn only after every other ledger has answered. A certain bill takes precedence over an
 * uncertain one; among uncertain bills, that of the controller whose name sorts first takes precedence.
 */
import type { BillRecord } from "../../domain/billStore.js";
import { findBillMethod } from "../../protocol/ledgerMethods.js";
import { type ControllerContext, getOtherControllers } from "./controllerContext.js";

const FIND_BILL_TIMEOUT_MS = 1_000;
const MAX_BILLS_PER_ROUND = 200;

export class BillReconciler {
    constructor(
        private readonly context: ControllerContext,
        /** Age of an uncertain bill after which no other run of its request can be in progress. Milliseconds. */
        private readonly minAgeMs: number,
    ) {}

    /** Reconciles uncertain bills once. Bills for which a ledger is unreachable are retried in a later round. */
    async reconcile(): Promise<void> {
        const latestBilledAt = this.context.clock.getWallMs() - this.minAgeMs;
        const eligible = this.context.ledger.getUncertainBills().filter(bill => bill.at <= latestBilledAt);
        const bills = eligible.slice(0, MAX_BILLS_PER_ROUND);
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
                FIND_BILL_TIMEOUT_MS,
            );
            return { controller: other.name, bill: answer.bill };
        }));
        const prevailing = answers.find(answer =>
            answer.bill !== undefined && !answer.bill.withdrawn && prevailsOver(answer.controller, answer.bill, name)
        );
        if (prevailing === undefined) {
            await ledger.confirmBill(bill.requestId);
        }
        else {
            await ledger.withdrawBill(bill.requestId, prevailing.controller);
        }
    }
}

function prevailsOver(controller: string, bill: BillRecord, ownName: string): boolean {
    return !bill.uncertain || controller < ownName;
}
