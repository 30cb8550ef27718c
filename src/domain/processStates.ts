/** Decides what a process does on signals, on errors, and as its start and its stop proceed. */

/** Why a process ends. `finished`: nothing is left to do, or the process has ended itself by a way of its own. */
export type ProcessEndCause =
    | "stopSignal"
    | "stopFailed"
    | "stopTimedOut"
    | "startFailed"
    | "uncaughtError"
    | "usageError"
    | "finished";

/** `taking`: the process is about to listen. `reloadable`, `started`: the role can reload its settings, or stop. */
export type ProcessEvent =
    | "stopSignal"
    | "reloadSignal"
    | "taking"
    | "reloadable"
    | "started"
    | "stopped"
    | "stopFailed"
    | "stopTimedOut"
    | "startFailed"
    | "uncaughtError"
    | "usageError";

/** `limitStop`: end the process if its stop takes too long. `status`: exit code. */
export type ProcessAction =
    | { readonly type: "limitStop" | "stop" | "reload"; }
    | { readonly type: "end"; readonly status: number; readonly cause: ProcessEndCause; };

/** Exit codes by the event that ends the process. */
const EndStatuses = {
    stopped: 0,
    stopFailed: 1,
    stopTimedOut: 1,
    startFailed: 1,
    uncaughtError: 1,
    usageError: 2,
} as const;

export class ProcessStates {
    private stage: "loading" | "starting" | "running" | "stopping" | "ended" = "loading";
    private isReloadable = false;
    private hasPendingStop = false;
    private hasPendingReload = false;

    /** Returns what to do, in this order. */
    handle(event: ProcessEvent): ProcessAction[] {
        if (this.stage === "ended") {
            return [];
        }
        switch (event) {
            case "stopSignal":
                return this.handleStopSignal();
            case "reloadSignal":
                this.hasPendingReload = true;
                return this.reloadIfPending();
            case "taking":
                this.stage = this.stage === "loading" ? "starting" : this.stage;
                return [];
            case "reloadable":
                this.isReloadable = true;
                return this.reloadIfPending();
            case "started":
                this.stage = this.stage === "stopping" ? this.stage : "running";
                return this.stopIfPending();
            case "stopped":
                return this.end(EndStatuses.stopped, "stopSignal");
            default:
                return this.end(EndStatuses[event], event);
        }
    }

    private handleStopSignal(): ProcessAction[] {
        if (this.stage === "loading") {
            return this.end(EndStatuses.stopped, "stopSignal");
        }
        if (this.hasPendingStop || this.stage === "stopping") {
            return [];
        }
        this.hasPendingStop = true;
        return [{ type: "limitStop" }, ...this.stopIfPending()];
    }

    private stopIfPending(): ProcessAction[] {
        if (!this.hasPendingStop || this.stage !== "running") {
            return [];
        }
        this.hasPendingStop = false;
        this.stage = "stopping";
        return [{ type: "stop" }];
    }

    private reloadIfPending(): ProcessAction[] {
        if (!this.hasPendingReload || !this.isReloadable) {
            return [];
        }
        this.hasPendingReload = false;
        return [{ type: "reload" }];
    }

    private end(status: number, cause: ProcessEndCause): ProcessAction[] {
        this.stage = "ended";
        return [{ type: "end", status, cause }];
    }
}
