/** Answers routers for this controller's intents. */
import { getLedgerController } from "../../domain/identifiers.js";
import type { IntentStore } from "../../domain/intentStore.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { intendMethod, withdrawIntentMethod } from "../../protocol/ledgerMethods.js";
import type { ControllerContext } from "./fleetView.js";

export class IntentService {
    private readonly startedAt: number;

    constructor(
        private readonly context: ControllerContext,
        private readonly intents: IntentStore,
        /** After a lost disk, how long a request that may be a resend is refused. Milliseconds. */
        private readonly resendWindowMs: number,
        /** Whether this start found the disk empty. */
        private readonly startedEmpty: boolean,
    ) {
        this.startedAt = context.clock.getMonotonicMs();
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(intendMethod, async params => {
            this.checkMemory();
            const intent = { digest: params.digest, owner: params.owner };
            const standing = await this.intents.storeIntent(params.requestId, intent);
            return standing.owner === params.owner
                ? { type: "granted" as const }
                : { type: "taken" as const, ...standing };
        });
        handlers.add(withdrawIntentMethod, params => this.intents.withdraw(params.requestId, params.owner));
    }

    /** A ledger that lost its disk has forgotten its intents; until no resend can come any more it must not grant one. */
    private checkMemory(): void {
        const { log, ledger, name, clock } = this.context;
        const record = log.state.budgets.tryGetLedger(ledger.id);
        if (record === undefined) {
            throw new RefusalError(createRefusal("notReady", "the ledger is not registered yet", "no", 500));
        }
        const lostDisk = this.startedEmpty
            && log.state.budgets.getLedgers().some(other => other.sealed && getLedgerController(other.ledger) === name);
        const leftMs = this.startedAt + this.resendWindowMs - clock.getMonotonicMs();
        if (lostDisk && leftMs > 0) {
            const detail = "this ledger lost its disk; an earlier attempt may have run";
            throw new RefusalError(createRefusal("outcomeUnknown", detail, "unknown", leftMs));
        }
    }
}
