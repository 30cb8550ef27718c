/** Commands that run a role until SIGTERM or SIGINT. */
import { processLifetime } from "../adapters/processLifetime.js";
import { RefusalError } from "../domain/resultCodes.js";
import { NoLog } from "../ports/log.js";
import { readRoleSettings } from "../settings/roleFile.js";
import type { Role, RoleSettings } from "../settings/schemas.js";
import { type RunningRole, startController, startRouter, startSidecar } from "../wiring.js";

/** Time for what a stop does beside draining: returning grants, and sending records and answers. */
const STOP_LIMIT_MARGIN_MS = 30_000;

/** Starts the role that `settings.role` selects. */
export async function startRole(settings: RoleSettings): Promise<RunningRole> {
    switch (settings.role) {
        case "controller":
            return startController(settings);
        case "router":
            return startRouter(settings);
        case "sidecar":
            return startSidecar(settings);
        case "stand-in-engine":
            return startStandIn(new (await import("../daemons/standIn/standInEngine.js")).StandInEngine(settings));
        case "stand-in-service":
            return startStandIn(new (await import("../daemons/standIn/standInService.js")).StandInService(settings));
        case "stand-in-platform":
            return startStandIn(new (await import("../daemons/standIn/standInPlatform.js")).StandInPlatform(settings));
    }
}

/** Runs a role until SIGTERM or SIGINT, then shuts it down gracefully and exits the process. */
export async function runRole(role: Role, path: string): Promise<void> {
    const settings = await readRoleSettings(path, role);
    if (settings.isErr()) {
        throw new RefusalError(settings.error);
    }
    processLifetime.setStopLimit(computeStopLimitMs(settings.value));
    processLifetime.markTaking();
    const running = await startRole(settings.value);
    processLifetime.setLog(running.log);
    processLifetime.setStop(() => running.stop());
    process.stdout.write(`ready=${role} peer=${running.peerAddress} http=${running.httpAddress}\n`);
}

/** Both stages of a drain may take their whole time. */
function computeStopLimitMs(settings: RoleSettings): number {
    const drainMs = "drainMs" in settings ? settings.drainMs : 0;
    const lameDuckMs = "lameDuckMs" in settings ? settings.lameDuckMs : 0;
    return lameDuckMs + 2 * drainMs + STOP_LIMIT_MARGIN_MS;
}

async function startStandIn(standIn: { start(): Promise<string>; stop(): Promise<void>; }): Promise<RunningRole> {
    const url = await standIn.start();
    return {
        log: new NoLog(),
        peerAddress: "",
        httpAddress: url.replace("http://", ""),
        stop: () => standIn.stop(),
    };
}
