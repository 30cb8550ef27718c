/** Clients that send more than they should and read nothing: no process ends. */
import { ADMIN_PORT, CALLER_PORT, METRICS_PORT, PEER_PORT, READINESS_PORT } from "../tools/boxSettingsText.js";
import { endProcess } from "../tools/childProcesses.js";
import { CrowdKinds } from "../tools/crowdOptions.js";
import { startCrowd } from "../tools/crowdProcess.js";
import type { SoakBox } from "./soakBox.js";

const CROWDS = 2;
const MAX_CONNECTIONS = 40;
const MB = 1_000_000;
const KINDS = Object.values(CrowdKinds);

interface CrowdTarget {
    readonly port: number;
    readonly method: string;
    readonly path: string;
}

const ROUTER_TARGETS: readonly CrowdTarget[] = [
    { port: CALLER_PORT, method: "POST", path: "/c/x" },
    { port: READINESS_PORT, method: "GET", path: "/loomwinch/readyz" },
    { port: METRICS_PORT, method: "GET", path: "/metrics" },
    { port: PEER_PORT, method: "GET", path: "/" },
];
const CONTROLLER_TARGETS: readonly CrowdTarget[] = [
    { port: ADMIN_PORT, method: "PUT", path: "/loomwinch/config" },
    { port: ADMIN_PORT, method: "GET", path: "/loomwinch/config" },
    { port: METRICS_PORT, method: "GET", path: "/metrics" },
    { port: PEER_PORT, method: "GET", path: "/" },
];

/** Returns the processes that have ended, one line each. Adds to `story` what was done. */
export async function playHostileClients(
    boxes: readonly SoakBox[],
    random: () => number,
    story: string[],
): Promise<string[]> {
    const draw = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]!;
    const faults: string[] = [];
    for (let i = 0; i < CROWDS; i++) {
        const box = draw(boxes);
        const target = draw(box.options.role === "router" ? ROUTER_TARGETS : CONTROLLER_TARGETS);
        const connections = 1 + Math.floor(random() * MAX_CONNECTIONS);
        const options = { ...target, host: box.options.ip, kind: draw(KINDS), connections, bytes: 2 * MB };
        const name = `${options.kind} on ${connections} connections to port ${target.port} of ${box.options.name}`;
        story.push(name);
        const pidsBefore = boxes.map(other => other.getPid());
        await endProcess(await startCrowd(options));
        boxes.forEach((other, j) => {
            if (other.getPid() !== pidsBefore[j]) {
                faults.push(`the process of ${other.options.name} has ended beside ${name}`);
            }
        });
    }
    return faults;
}
