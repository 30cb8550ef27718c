/** Records operators' requests to evacuate availability zones in the replicated log and notifies subscribed routers. */
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import { MAX_ZONE_LENGTH } from "../../domain/evacuationCommands.js";
import type { EvacuationList, EvacuationResult } from "../../domain/evacuationStore.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { Log } from "../../ports/log.js";
import { evacuationNoticeMethod } from "../../protocol/fleetMethods.js";
import type { SubscribedRouters } from "./subscribedRouters.js";

export class EvacuationService {
    /** Log index of the last change that routers were notified of. */
    private lastNotifiedIndex = 0;

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly subscribers: SubscribedRouters,
        private readonly log: Log,
    ) {
        replica.onApplied(({ command }) => {
            if (command.type === "setEvacuation") {
                this.notifyIfChanged();
            }
        });
        replica.onSnapshotLoaded(() => this.notifyIfChanged());
        this.lastNotifiedIndex = this.createEvacuationList().index;
    }

    /**
     * Evacuates a zone or returns it to service. Idempotent. Resolves once a majority has persisted the change. Unknown
     * zones are accepted, because a controller that has just started or is partitioned cannot distinguish them from zones
     * without upstreams. Throws objectInvalid, noMajority if the change was not stored, and changeUnknown if it may have been.
     */
    async setEvacuated(zone: string, isEvacuated: boolean): Promise<void> {
        if (zone === "" || zone.length > MAX_ZONE_LENGTH) {
            throw new RefusalError(
                createRefusal("objectInvalid", `zone name has an invalid length of ${zone.length} characters`),
            );
        }
        // A local read may be stale: the previous request for this zone may have been sent to another controller.
        await this.replica.confirmReadIndex();
        const { isEvacuated: wasEvacuated, changes } = this.replica.state.evacuations.get(zone);
        if (wasEvacuated !== isEvacuated) {
            const { result } = await this.replica.propose({
                type: "setEvacuation",
                zone,
                isEvacuated,
                expectedChanges: changes,
            });
            checkOutcome((result as EvacuationResult).outcome, zone);
        }
        this.log.info("evacuation_ordered", { zone, evacuated: isEvacuated, changed: wasEvacuated !== isEvacuated });
    }

    createEvacuationList(): EvacuationList {
        return this.replica.state.evacuations.createList();
    }

    private notifyIfChanged(): void {
        const list = this.createEvacuationList();
        if (list.index > this.lastNotifiedIndex) {
            this.lastNotifiedIndex = list.index;
            this.subscribers.notifyAll(evacuationNoticeMethod, list);
            this.log.info("evacuations_changed", { index: list.index, zones: list.zones.join(",") });
        }
    }
}

function checkOutcome(outcome: EvacuationResult["outcome"], zone: string): void {
    switch (outcome) {
        case "done":
            return;
        case "overtaken":
            // Concurrent requests cannot be ordered here; the operator has to retry the one that should apply.
            throw new RefusalError(
                createRefusal("changeUnknown", `the evacuation of ${zone} was changed concurrently`),
            );
        case "full":
            throw new RefusalError(createRefusal("objectInvalid", "too many zones have been evacuated"));
    }
}
