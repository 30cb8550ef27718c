/** Starts the program of hostile connections. */
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { spawnNode } from "./childProcesses.js";
import type { CrowdOptions } from "./crowdOptions.js";

const programPath = join(dirname(fileURLToPath(import.meta.url)), "hostileCrowd.js");

/** Resolves when the crowd has sent what the other side takes; its connections stay open until the process is ended. */
export async function startCrowd(options: CrowdOptions): Promise<ChildProcess> {
    const child = spawnNode([programPath, JSON.stringify(options)], {});
    await once(child.stdout!, "data");
    return child;
}
