/**
 * Signals, errors and the end of this process. Imports little, so that the signals are handled as early in a start as possible:
 * Node.js ends a process at once on a signal without a handler.
 */
import { writeSync } from "node:fs";
import { type ProcessAction, type ProcessEndCause, type ProcessEvent, ProcessStates } from "../domain/processStates.js";
import type { Log } from "../ports/log.js";

const STDERR_FD = 2;
/** Used until the settings are read. */
const DEFAULT_STOP_LIMIT_MS = 7_950;

export class ProcessLifetime {
    private readonly states = new ProcessStates();
    private isRegistered = false;
    private cause: ProcessEndCause = "finished";
    private error: unknown;
    private log: Log | undefined;
    private stopLimitMs = DEFAULT_STOP_LIMIT_MS;
    private reload = (): void => undefined;
    private stop: (signalledAt: number) => Promise<void> = () => Promise.resolve();
    /** When the first stop signal came. Monotonic clock, milliseconds. */
    private signalledAt: number | undefined;

    /** Registers the handlers. `stopSignals`, `reloadSignals`: those that stop the process or reload its settings. */
    register(stopSignals: readonly NodeJS.Signals[], reloadSignals: readonly NodeJS.Signals[] = []): void {
        if (this.isRegistered) {
            return;
        }
        this.isRegistered = true;
        stopSignals.forEach(signal => process.on(signal, () => this.handleStopSignal()));
        reloadSignals.forEach(signal => process.on(signal, () => this.handle("reloadSignal")));
        process.on("uncaughtException", error => this.fail("uncaughtError", error));
        // Before the log's own handler, which writes the remaining lines.
        process.prependListener("exit", status => this.logEnd(status));
    }

    /** Sets the log for what happens from here on. */
    setLog(log: Log): void {
        this.log = log;
    }

    /** Sets the time from the first stop signal until the process ends in any case, in milliseconds. */
    setStopLimit(limitMs: number): void {
        this.stopLimitMs = limitMs;
    }

    /** Records that the process is about to listen, so that a stop signal no longer ends it before it has started. */
    markTaking(): void {
        this.handle("taking");
    }

    /** Calls `reload` at each reload signal, and at once if there was one during the start. */
    setReload(reload: () => void): void {
        this.reload = reload;
        this.handle("reloadable");
    }

    /**
     * Calls `stop` at the first stop signal, at once if there was one during the start, and ends the process after it. `signalledAt`:
     * when the signal came. Monotonic clock, milliseconds.
     */
    setStop(stop: (signalledAt: number) => Promise<void>): void {
        this.stop = stop;
        this.handle("started");
    }

    /** Ends the process because of an error. */
    fail(event: "startFailed" | "usageError" | "uncaughtError", error?: unknown): void {
        this.error = error;
        this.handle(event);
    }

    private handleStopSignal(): void {
        this.signalledAt ??= performance.now();
        this.handle("stopSignal");
    }

    private handle(event: ProcessEvent): void {
        this.states.handle(event).forEach(action => this.execute(action));
    }

    private execute(action: ProcessAction): void {
        switch (action.type) {
            case "limitStop":
                setTimeout(() => this.handle("stopTimedOut"), this.stopLimitMs);
                break;
            case "reload":
                this.reload();
                break;
            case "stop":
                this.runStop();
                break;
            case "end":
                this.cause = action.cause;
                process.exit(action.status);
        }
    }

    private runStop(): void {
        this.log?.info("stop_begins");
        this.stop(this.signalledAt ?? performance.now()).then(
            () => this.handle("stopped"),
            error => {
                this.log?.error("stop_failed", { error: String(error) });
                this.handle("stopFailed");
            },
        );
    }

    private logEnd(status: number): void {
        if (this.cause === "uncaughtError") {
            this.log?.error("process_failed", { error: formatError(this.error) });
            writeError(this.error);
        }
        this.log?.info("process_ends", { status, cause: this.cause });
    }
}

/** As Node.js does without a handler. */
function writeError(error: unknown): void {
    try {
        writeSync(STDERR_FD, `${formatError(error)}\n`);
    }
    catch {
        // Nobody reads it; the exit code stays.
    }
}

function formatError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** Of this process. */
export const processLifetime = new ProcessLifetime();
