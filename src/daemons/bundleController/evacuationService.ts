/**
 * Takes operators' orders to evacuate an availability zone to the log, and tells the routers that follow which zones are.
 */
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import { MAX_ZONE_LENGTH } from "../../domain/evacuationCommands.js";
import type { EvacuationList, EvacuationResult } from "../../domain/evacuationStore.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { Log } from "../../ports/log.js";
import { evacuationNoticeMethod } from "../../protocol/fleetMethods.js";
import type { Followers } from "./followers.js";

export class EvacuationService {
    /** Index of the newest change that the routers were told of. */
    private told = 0;

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly followers: Followers,
        private readonly log: Log,
    ) {
        replica.onApplied(({ command }) => {
            if (command.type === "setEvacuation") {
                this.tellChange();
            }
        });
        replica.onSnapshotLoaded(() => this.tellChange());
        this.told = this.createList().index;
    }

    /**
     * Has a zone evacuated, or puts it back into service. Resolves once a majority holds it on disk. An order that was carried
     * out before is answered again. A zone that no upstream, router or controller has named is taken all the same: a
     * controller that has just started, or is cut off from the zone, cannot tell it from one that has no upstream yet.
     * Throws objectInvalid, noMajority where it was certainly not taken, changeUnknown where it may have been.
     */
    async setEvacuated(zone: string, isEvacuated: boolean): Promise<void> {
        if (zone === "" || zone.length > MAX_ZONE_LENGTH) {
            throw new RefusalError(createRefusal("objectInvalid", `a zone's name of ${zone.length} characters`));
        }
        // Read through a majority: an order and its withdrawal may have come to different controllers.
        await this.replica.readThroughMajority();
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

    /** What routers go by. */
    createList(): EvacuationList {
        return this.replica.state.evacuations.createList();
    }

    private tellChange(): void {
        const list = this.createList();
        if (list.index > this.told) {
            this.told = list.index;
            this.followers.notifyAll(evacuationNoticeMethod, list);
            this.log.info("evacuations_changed", { index: list.index, zones: list.zones.join(",") });
        }
    }
}

function checkOutcome(outcome: EvacuationResult["outcome"], zone: string): void {
    switch (outcome) {
        case "done":
            return;
        case "overtaken":
            // Which of the two orders is the newer one only its sender knows; it sends again what it still wants.
            throw new RefusalError(createRefusal("changeUnknown", `another order about ${zone} came between`));
        case "full":
            throw new RefusalError(createRefusal("objectInvalid", "too many zones have been evacuated"));
    }
}
