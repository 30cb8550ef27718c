/** Guards against a stop that never ends, one that a second signal cuts off, and an exit code that hides a failed stop. */
import { once } from "node:events";
import t from "tap";
import { spawnNode } from "../tools/childProcesses.js";

const url = new URL("../../src/adapters/processLifetime.js", import.meta.url).href;

/** Runs a process that gets SIGTERM twice while it stops in the given way; returns its exit code. */
async function runStop(stop: string): Promise<unknown> {
    const script = `
        const { processLifetime } = await import(${JSON.stringify(url)});
        const keepAlive = setInterval(() => undefined, 1_000);
        processLifetime.register(["SIGTERM"]);
        processLifetime.setStopLimit(500);
        processLifetime.markTaking();
        processLifetime.setStop(${stop});
        process.kill(process.pid, "SIGTERM");
        setTimeout(() => process.kill(process.pid, "SIGTERM"), 50);
    `;
    const child = spawnNode(["--input-type=module", "-e", script], process.env);
    const [code] = await once(child, "exit");
    return code;
}

void t.test("a stop that never completes is ended with 1", async t => {
    t.equal(await runStop("() => new Promise(() => undefined)"), 1);
});

void t.test("a second signal does not cut off a stop", async t => {
    t.equal(await runStop("() => new Promise(resolve => setTimeout(resolve, 200))"), 0);
});

void t.test("a stop that fails ends with 1", async t => {
    t.equal(await runStop("() => Promise.reject(new Error('disk'))"), 1);
});
