/** Commands that run a role until SIGTERM or SIGINT. */
import { RefusalError } from "../domain/resultCodes.js";
import { readRoleSettings } from "../settings/roleFile.js";
import type { Role, RoleSettings } from "../settings/schemas.js";
import { type RunningRole, startController, startRouter, startSidecar } from "../wiring.js";

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
    const running = await startRole(settings.value);
    let isStopping = false;
    const stop = (): void => {
        if (!isStopping) {
            isStopping = true;
            running.stop().then(() => process.exit(0), () => process.exit(1));
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.stdout.write(`ready=${role} peer=${running.peerAddress} http=${running.httpAddress}\n`);
}

async function startStandIn(standIn: { start(): Promise<string>; stop(): Promise<void>; }): Promise<RunningRole> {
    const url = await standIn.start();
    return { peerAddress: "", httpAddress: url.replace("http://", ""), stop: () => standIn.stop() };
}
