/** Clients that send more than they should and read nothing end no process, and ordinary callers are served after them. */
import { readdirSync, readFileSync } from "node:fs";
import t from "tap";
import { ADMIN_PORT, CALLER_PORT, METRICS_PORT, PEER_PORT, READINESS_PORT } from "../tools/boxSettingsText.js";
import { buildDeployedProgram, endProcess } from "../tools/childProcesses.js";
import { type CrowdKind, CrowdKinds, type CrowdOptions } from "../tools/crowdOptions.js";
import { startCrowd } from "../tools/crowdProcess.js";
import { NO_REPEATS, startPlay } from "../tools/plannedPlay.js";
import { PlayPaths } from "../tools/playEngine.js";
import { waitUntil } from "../tools/waiting.js";

const NETWORK = 218;
/** Lower than where the program is deployed, so that small crowds show what larger ones do there. */
const HEAP_MB = 64;
/** Of the smallest machine that routers run on. */
const MEMORY_MB = 200;
const MAX_DESCRIPTORS = 1_000;
const MB = 1_000_000;
/** Large beside the memory of a process. */
const MAX_BODY_BYTES = 2 * MB;
const BOXES = ["r1", "r2", "c1"];

const program = await buildDeployedProgram();

/** A crowd, and the box and port that it connects to. */
type Scene = Omit<CrowdOptions, "host"> & { readonly name: string; readonly box: string; };

function createScene(
    name: string,
    box: string,
    port: number,
    kind: CrowdKind,
    connections: number,
    bytes: number,
    method = "POST",
    path = "/c/x",
): Scene {
    return { name, box, port, kind, connections, bytes, method, path };
}

const scenes: readonly Scene[] = [
    createScene("a chunked body in small chunks at a router", "r1", CALLER_PORT, CrowdKinds.smallChunks, 2, 11 * MB),
    createScene("chunked bodies in large chunks at a router", "r1", CALLER_PORT, CrowdKinds.largeChunks, 60, 1.8 * MB),
    createScene(
        "bare requests sent ahead at a router",
        "r1",
        CALLER_PORT,
        CrowdKinds.bareAhead,
        20,
        4 * MB,
        "GET",
        "/",
    ),
    createScene(
        "proper requests sent ahead at a router",
        "r1",
        CALLER_PORT,
        CrowdKinds.properAhead,
        20,
        4 * MB,
        "POST",
        "/c/x",
    ),
    createScene(
        "requests sent ahead at the readiness path",
        "r1",
        READINESS_PORT,
        CrowdKinds.bareAhead,
        200,
        4 * MB,
        "GET",
        "/loomwinch/readyz",
    ),
    createScene(
        "requests sent ahead at the metrics",
        "r1",
        METRICS_PORT,
        CrowdKinds.bareAhead,
        40,
        4 * MB,
        "GET",
        "/metrics",
    ),
    createScene("endless lines at the port of a router's peers", "r1", PEER_PORT, CrowdKinds.endlessLine, 30, 7 * MB),
    createScene(
        "configurations read ahead at a controller",
        "c1",
        ADMIN_PORT,
        CrowdKinds.bareAhead,
        40,
        4 * MB,
        "GET",
        "/loomwinch/config",
    ),
    createScene(
        "a chunked configuration in small chunks at a controller",
        "c1",
        ADMIN_PORT,
        CrowdKinds.smallChunks,
        2,
        11 * MB,
        "PUT",
        "/loomwinch/config",
    ),
    createScene(
        "chunked configurations in large chunks at a controller",
        "c1",
        ADMIN_PORT,
        CrowdKinds.largeChunks,
        60,
        3.9 * MB,
        "PUT",
        "/loomwinch/config",
    ),
    createScene(
        "requests sent ahead at the metrics of a controller",
        "c1",
        METRICS_PORT,
        CrowdKinds.bareAhead,
        40,
        4 * MB,
        "GET",
        "/metrics",
    ),
    createScene(
        "endless lines at the port of a controller's peers",
        "c1",
        PEER_PORT,
        CrowdKinds.endlessLine,
        30,
        7 * MB,
    ),
];

/** Returns the highest memory of a process, in MB; undefined if it has ended. */
function tryReadPeakMemoryMb(pid: number): number | undefined {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) * 1_024 / MB;
    }
    catch {
        return undefined;
    }
}

function countDescriptors(pid: number): number {
    return readdirSync(`/proc/${pid}/fd`).length;
}

for (const { name, box, ...crowd } of scenes) {
    void t.test(`memory is bounded beside ${name}`, async t => {
        const fleetOptions = { program, memoryMb: MEMORY_MB, nodeArgs: [`--max-old-space-size=${HEAP_MB}`] };
        const play = await startPlay(NETWORK, 2, { ...NO_REPEATS, maxBodyBytes: MAX_BODY_BYTES }, fleetOptions);
        t.teardown(() => play.close());
        const { fleet } = play;
        const pids = BOXES.map(name => fleet.getPid(name));
        const child = await startCrowd({ ...crowd, host: fleet.getIp(box) });
        BOXES.forEach((name, i) => {
            const memoryMb = tryReadPeakMemoryMb(pids[i]!);
            t.ok(fleet.isBoxRunning(name) && memoryMb !== undefined, `${name} lives`);
            if (memoryMb !== undefined) {
                t.ok(memoryMb <= MEMORY_MB, `${name} has used at most ${Math.round(memoryMb)} MB`);
                const descriptors = countDescriptors(pids[i]!);
                t.ok(descriptors <= MAX_DESCRIPTORS, `${name} has ${descriptors} descriptors`);
            }
        });
        await endProcess(child);
        if (fleet.isBoxRunning("r1")) {
            await waitUntil("an ordinary request to be served", async () => {
                const connection = play.open("r1");
                const status = await play.send(connection, PlayPaths.short);
                connection.close();
                return status === 200;
            });
            t.pass("an ordinary request is served");
        }
        else {
            t.fail("no router to serve an ordinary request");
        }
    });
}
