/**
 * `npm run bench:relay`: router and sidecar beside (a) the bare engine and (b) a bare fastify and undici relay, in one
 * run: time to the first token, requests a second for each core of the process under test, resident memory. Then the CPU
 * time per request of the direct router, which `npm run bench:relay -- direct-router` measures alone.
 */
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { sendChatRequest } from "../src/replay/chatClient.js";
import { Fleet, type FleetProcess } from "../test/tools/fleet.js";
import { runDirectRouterTarget } from "./directRouterTarget.js";

const SECONDS = 6;
const CALLERS = 16;
const ROUNDS = 3;
const CONTENT = "a note, please out=16";

interface Target {
    readonly name: string;
    readonly url: string;
    /** Processes whose CPU counts. */
    readonly pids: readonly number[];
}

/** CPU seconds a process has used. */
function getCpuSeconds(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) / 100;
}

function getResidentMb(pid: number): number {
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))![1]) / 1024);
}

async function measure(target: Target, key: string): Promise<{ first: number[]; count: number; cpu: number; }> {
    const before = target.pids.reduce((sum, pid) => sum + getCpuSeconds(pid), 0);
    const first: number[] = [];
    const until = performance.now() + SECONDS * 1_000;
    await Promise.all(Array.from({ length: CALLERS }, async () => {
        while (performance.now() < until) {
            const result = await sendChatRequest({
                url: target.url,
                key,
                model: "wetterwort",
                messages: [{ role: "user", content: CONTENT }],
                maxTokens: 16,
                stream: true,
            });
            if (result.isComplete) {
                first.push(result.firstMs);
            }
        }
    }));
    return { first, count: first.length, cpu: target.pids.reduce((sum, pid) => sum + getCpuSeconds(pid), 0) - before };
}

function pick(values: readonly number[], part: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

async function startRelay(engineUrl: string): Promise<{ url: string; pid: number; stop: () => void; }> {
    const child = spawn(process.execPath, [fileURLToPath(new URL("./bareRelay.js", import.meta.url)), engineUrl], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const url = await new Promise<string>(resolve =>
        child.stdout.once("data", (bytes: Buffer) => resolve(bytes.toString().trim()))
    );
    return { url, pid: child.pid!, stop: () => child.kill("SIGKILL") };
}

if (process.argv[2] === "direct-router") {
    await runDirectRouterTarget();
    process.exit(0);
}
const fleet = new Fleet({
    zones: ["zone"],
    services: [{
        name: "wetterwort",
        type: "model",
        upstreamsPerZone: 1,
        slots: 64,
        standIn: { tokenMs: 2, slots: 64, prefillMsPerThousand: 0 },
    }],
});
await fleet.start();
const key = await fleet.createAccount("bench", 900_000_000);
const engine = fleet.getStandIns("wetterwort")[0]!;
const [router, sidecar, controller] = [fleet.getRouters()[0]!, fleet.getSidecars()[0]!, fleet.getControllers()[0]!];
const relay = await startRelay(engine.getUrl());
const targets: Target[] = [
    { name: "engine", url: engine.getUrl(), pids: [] },
    { name: "bare-relay", url: relay.url, pids: [relay.pid] },
    { name: "router+sidecar", url: router.getUrl(), pids: [router.getPid(), sidecar.getPid()] },
];
for (let round = 1; round <= ROUNDS; round++) {
    for (const target of targets) {
        const { first, count, cpu } = await measure(target, key);
        const perCore = cpu === 0 ? 0 : Math.round(count / cpu);
        const cpuMs = cpu / count * 1_000;
        console.log(
            `round=${round} target=${target.name} first_ms_p50=${pick(first, 0.5).toFixed(2)} first_ms_p99=${
                pick(first, 0.99).toFixed(2)
            } requests_per_s=${Math.round(count / SECONDS)} requests_per_core_s=${perCore} cpu_ms_per_request=${
                cpuMs.toFixed(3)
            }`,
        );
    }
}
const resident = (process: FleetProcess): number => getResidentMb(process.getPid());
console.log(
    `resident_mb router=${resident(router)} sidecar=${resident(sidecar)} controller=${
        resident(controller)
    } bare_relay=${getResidentMb(relay.pid)}`,
);
relay.stop();
await fleet.stop();
await runDirectRouterTarget();
process.exit(0);
