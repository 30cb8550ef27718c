/** The planned stop of a router or a controller: every request that it owns is answered before its process ends, as far as time allows. */
import { waitForNextPoll } from "../adapters/nextPoll.js";
import type { ConnectionCounts } from "../domain/callerConnection.js";
import type { StopSchedule } from "../domain/stopSchedule.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";

/** Interval at which connections are examined, in milliseconds. */
const DRAIN_PERIOD_MS = 50;

/** The connections of a process with its callers, and with the routers that it relays to. */
export interface DrainableServer {
    /** Accepts the connections that wait for it, and stops listening. */
    stopListening(): Promise<void>;
    /** Ends the connections that carry no request. Called right after a poll for I/O. */
    endIdleConnections(): void;
    /** Returns the number of connections whose last byte is not handed to the operating system. */
    countUndelivered(): number;
    /** Returns the number of connections relayed to other routers. */
    countRelayed(): number;
    /** Returns the numbers of connections that are served here, by what they wait for. */
    countConnections(): ConnectionCounts;
}

/** A stopping process. */
export interface DrainableDaemon {
    getActiveRequestCount(): number;
}

/** Stages of a stop, for logs. */
type DrainStage = "announced" | "closing" | "drained" | "over";

/** Resolves when every request is answered, or when the time is over. */
export async function drainConnections(
    server: DrainableServer,
    daemon: DrainableDaemon,
    schedule: StopSchedule,
    clock: Clock,
    log: Log,
): Promise<void> {
    const logProgress = (stage: DrainStage): void =>
        log.info("stop_progress", {
            stage,
            ...server.countConnections(),
            relayed: server.countRelayed(),
            requests: daemon.getActiveRequestCount(),
            after_ms: Math.round(schedule.getElapsedMs(clock.getMonotonicMs())),
        });
    logProgress("announced");
    await clock.wait(schedule.getClosesInMs(clock.getMonotonicMs()));
    logProgress("closing");
    let isListening = true;
    while (schedule.getPhase(clock.getMonotonicMs()) !== "over") {
        await waitForNextPoll();
        server.endIdleConnections();
        if (server.countUndelivered() + daemon.getActiveRequestCount() > 0) {
            await clock.wait(DRAIN_PERIOD_MS);
        }
        else if (isListening) {
            // What was accepted until now is examined once more.
            isListening = false;
            await server.stopListening();
        }
        else {
            logProgress("drained");
            return;
        }
    }
    logProgress("over");
}
