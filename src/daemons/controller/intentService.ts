/** Handles routers' requests to store and withdraw intents. */
import { getLedgerController } from "../../domain/identifiers.js";
import type { IntentStore } from "../../domain/intentStore.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { intendMethod, withdrawIntentMethod } from "../../protocol/ledgerMethods.js";
import type { ControllerContext } from "./controllerContext.js";

export class IntentService {
    private readonly startedAt: number;

    constructor(
        private readonly context: ControllerContext,
        private readonly intents: IntentStore,
        /** Time after a disk loss during which requests that may be resent are refused. Milliseconds. */
        private readonly resendWindowMs: number,
        /** Whether the disk was empty at startup. */
        private readonly startedEmpty: boolean,
    ) {
        this.startedAt = context.clock.getMonotonicMs();
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(intendMethod, async params => {
            this.checkIntentsKnown();
            const intent = { digest: params.digest, owner: params.owner };
            const stored = await this.intents.storeIntent(params.requestId, intent);
            return stored.owner === params.owner
                ? { type: "granted" as const }
                : { type: "taken" as const, ...stored };
        });
        handlers.add(withdrawIntentMethod, params => this.intents.withdraw(params.requestId, params.owner));
    }

    /** Refuses intents after a disk loss until no request can be resent whose earlier intent was lost. */
    private checkIntentsKnown(): void {
        const { log, ledger, name, clock } = this.context;
        const record = log.state.budgets.tryGetLedger(ledger.id);
        if (record === undefined) {
            throw new RefusalError(
                createRefusal("notReady", "ledger is not registered in the replicated log yet", "no", 500),
            );
        }
        const lostDisk = this.startedEmpty
            && log.state.budgets.getLedgers().some(other => other.sealed && getLedgerController(other.ledger) === name);
        const remainingMs = this.startedAt + this.resendWindowMs - clock.getMonotonicMs();
        if (lostDisk && remainingMs > 0) {
            const detail = "ledger lost its disk; an earlier attempt may have run";
            throw new RefusalError(createRefusal("outcomeUnknown", detail, "unknown", remainingMs));
        }
    }
}
