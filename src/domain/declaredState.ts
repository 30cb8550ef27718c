/** The replicated state machine: the state that the log's commands change. */
import { type BudgetResult, BudgetStore, type BudgetStoreSnapshot } from "./budgetStore.js";
import type { PutBundleCommand } from "./bundleCommands.js";
import { type BundleResult, BundleStore, type StoredBundle } from "./bundleStore.js";
import type { LogEntry } from "./commands.js";
import { type EvacuationResult, type EvacuationSnapshot, EvacuationStore } from "./evacuationStore.js";
import { type ChangeResult, ObjectStore, type ObjectStoreSnapshot } from "./objectStore.js";
import { PrepaidLedger, type PrepaidResult, type PrepaidSnapshot } from "./prepaidLedger.js";
import { type PermitReservationResult, type RepeatPermitSnapshot, RepeatPermitStore } from "./repeatPermitStore.js";
import { type ServiceVersionResult, type ServiceVersionSnapshot, ServiceVersionStore } from "./serviceVersionStore.js";
import { type UpstreamEndSnapshot, UpstreamEndStore } from "./upstreamEndStore.js";

export type ApplyResult =
    | ChangeResult
    | BudgetResult
    | BundleResult
    | PrepaidResult
    | EvacuationResult
    | ServiceVersionResult
    | PermitReservationResult;

/** Result of commands that have no specific result. */
const ACCEPTED: BudgetResult = { type: "accepted", tokens: 0 };

/** The complete replicated state at one log index. */
export interface StateSnapshot {
    readonly objects: ObjectStoreSnapshot;
    readonly budgets: BudgetStoreSnapshot;
    readonly bundle?: StoredBundle | undefined;
    readonly prepaid?: PrepaidSnapshot;
    readonly upstreamEnds?: UpstreamEndSnapshot | undefined;
    readonly evacuations?: EvacuationSnapshot | undefined;
    readonly serviceVersions?: ServiceVersionSnapshot | undefined;
    readonly repeatPermits?: RepeatPermitSnapshot | undefined;
}

/** Applies log entries in order. Deterministic. */
export class DeclaredState {
    readonly objects = new ObjectStore();
    readonly budgets = new BudgetStore();
    readonly bundle = new BundleStore();
    readonly prepaid = new PrepaidLedger();
    readonly upstreamEnds = new UpstreamEndStore();
    readonly evacuations = new EvacuationStore();
    readonly serviceVersions = new ServiceVersionStore();
    readonly repeatPermits = new RepeatPermitStore();

    apply(entry: LogEntry): ApplyResult {
        const command = entry.command;
        switch (command.type) {
            case "putObject":
            case "deleteObject":
                return this.objects.apply(command, entry.index);
            case "registerLedger":
                return this.budgets.applyRegisterLedger(command);
            case "creditTopUp":
                return this.budgets.applyCreditTopUp(command);
            case "allot":
                return this.budgets.applyAllot(command);
            case "reportShares":
                return this.budgets.applyReportShares(command);
            case "putBundle":
                return this.applyPutBundle(command);
            case "reportPrepaid":
                return this.prepaid.applyReport(command, entry.index);
            case "recordUpstreamEnd":
                this.upstreamEnds.applyRecord(command, entry.index);
                return ACCEPTED;
            case "clearRequests":
                this.upstreamEnds.applyClearRequests(command, entry.index);
                return ACCEPTED;
            case "clearAttributes":
                this.upstreamEnds.applyClear(command, entry.index);
                return ACCEPTED;
            case "forgetUpstreamEnds":
                this.upstreamEnds.applyForget(command, entry.index);
                return ACCEPTED;
            case "setEvacuation":
                return this.evacuations.applySet(command, entry.index);
            case "addServiceVersion":
                return this.serviceVersions.applyAdd(command, entry.index);
            case "removeServiceVersion":
                return this.serviceVersions.applyRemove(command, entry.index);
            case "reserveRepeatPermits":
                return this.repeatPermits.applyReserve(command, entry.index, entry.term);
            case "releaseRepeatPermits":
                return this.repeatPermits.applyRelease(command);
            case "setReplicas":
            case "noop":
                return ACCEPTED;
        }
    }

    createSnapshot(): StateSnapshot {
        return {
            objects: this.objects.createSnapshot(),
            budgets: this.budgets.createSnapshot(),
            bundle: this.bundle.tryGet(),
            prepaid: this.prepaid.createSnapshot(),
            upstreamEnds: this.upstreamEnds.createSnapshot(),
            evacuations: this.evacuations.createSnapshot(),
            serviceVersions: this.serviceVersions.createSnapshot(),
            repeatPermits: this.repeatPermits.createSnapshot(),
        };
    }

    loadSnapshot(snapshot: StateSnapshot): void {
        this.objects.loadSnapshot(snapshot.objects);
        this.budgets.loadSnapshot(snapshot.budgets);
        this.bundle.load(snapshot.bundle);
        if (snapshot.prepaid !== undefined) {
            this.prepaid.loadSnapshot(snapshot.prepaid);
        }
        if (snapshot.upstreamEnds !== undefined) {
            this.upstreamEnds.loadSnapshot(snapshot.upstreamEnds);
        }
        if (snapshot.evacuations !== undefined) {
            this.evacuations.loadSnapshot(snapshot.evacuations);
        }
        if (snapshot.serviceVersions !== undefined) {
            this.serviceVersions.loadSnapshot(snapshot.serviceVersions);
        }
        if (snapshot.repeatPermits !== undefined) {
            this.repeatPermits.loadSnapshot(snapshot.repeatPermits);
        }
    }

    private applyPutBundle(command: PutBundleCommand): BundleResult {
        const result = this.bundle.applyPut(command);
        if (result.changed) {
            this.prepaid.applyLimits(command.prepaid, command.revision);
        }
        return result;
    }
}
