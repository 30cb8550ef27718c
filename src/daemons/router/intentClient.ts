/** A router's side of intents: a not-repeatable request is dispatched only once its home ledger has a synced intent. */
import { chooseByRendezvous } from "../../domain/identifiers.js";
import { createRefusal, getRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { intendMethod, withdrawIntentMethod } from "../../protocol/ledgerMethods.js";
import type { ControllerAddress } from "../controllerAddress.js";
import type { ClaimKey } from "./claimClient.js";

const CALL_TIMEOUT_MS = 1_500;
const RETRY_AFTER_MS = 1_000;

export class IntentClient {
    constructor(
        private readonly network: PeerNetwork,
        /** Nearest first. */
        private readonly controllers: readonly ControllerAddress[],
    ) {}

    /**
     * Stores the intent at its home. A caller's own key has its home by hashing, so that every router asks the same
     * ledger; an id this router made is known to nobody else, so any ledger will do.
     */
    async intend(key: ClaimKey, keyed: boolean): Promise<ControllerAddress> {
        const homes = keyed ? [this.getHome(key.requestId)] : this.controllers;
        let detail = "";
        for (const home of homes) {
            try {
                const answer = await this.network.call(home.address, intendMethod, key, CALL_TIMEOUT_MS);
                if (answer.type === "granted") {
                    return home;
                }
                if (answer.digest !== key.digest) {
                    throw new RefusalError(createRefusal("requestIdReused"));
                }
                throw new RefusalError(
                    createRefusal("outcomeUnknown", "an earlier attempt may have run", "unknown", RETRY_AFTER_MS),
                );
            }
            catch (error) {
                const refusal = getRefusal(error);
                if (refusal.code !== "peerGone" && refusal.code !== "peerTimeout") {
                    throw error;
                }
                detail = home.name;
            }
        }
        throw new RefusalError(createRefusal("intentUnreachable", detail, keyed ? "unknown" : "no", RETRY_AFTER_MS));
    }

    /** Takes the intent back: nothing ran under it. */
    async withdraw(key: ClaimKey, home: ControllerAddress): Promise<void> {
        await this.network.call(home.address, withdrawIntentMethod, key, CALL_TIMEOUT_MS).catch(() => undefined);
    }

    private getHome(requestId: string): ControllerAddress {
        const name = chooseByRendezvous(requestId, this.controllers.map(controller => controller.name), 1)[0]!;
        return this.controllers.find(controller => controller.name === name)!;
    }
}
