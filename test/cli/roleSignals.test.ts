/** A signal during the start of a role of the command line does not kill its process. */
import { readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import t from "tap";
import { createKeyHash } from "../../src/domain/keys.js";
import { isRunning, spawnNode } from "../tools/childProcesses.js";
import { raiseWhileListening, raiseWhileLoading } from "../tools/signalPreloads.js";
import { waitUntil } from "../tools/waiting.js";

const cliPath = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "src", "cli", "main.js");

/** Runs a role until its process ends; returns how it ended, and what it has logged. */
async function runRole(role: string, nodeArgs: readonly string[], folder: string) {
    const name = `${role}-1`;
    const settings = {
        role,
        name,
        zone: "z",
        listen: "127.0.0.1:0",
        controllers: [{ name: "controller-1", zone: "z", address: "127.0.0.1:1" }],
        fleetSecret: "test-fleet-secret-0123456789",
        ...(role === "sidecar" ? { box: "box-1" } : {}),
        ...(role === "router" ? { callerListen: "127.0.0.1:0", lameDuckMs: 100 } : {}),
        ...(role === "controller"
            ? {
                operatorListen: "127.0.0.1:0",
                dataFolder: join(folder, "data"),
                operators: [{ name: "tester", tokenHash: createKeyHash("token") }],
            }
            : {}),
    };
    const settingsPath = join(folder, "settings.jsonc");
    const logPath = join(folder, "log");
    writeFileSync(settingsPath, JSON.stringify(settings));
    const child = spawnNode([...nodeArgs, cliPath, role, "--settings", settingsPath], process.env, logPath);
    await waitUntil(`${role} to end`, () => !isRunning(child));
    return { end: child.exitCode ?? child.signalCode, readLog: () => readFileSync(logPath, "utf8") };
}

for (const role of ["controller", "router", "sidecar"]) {
    void t.test(`${role}: a signal while its modules are loaded ends it with 0 before anything listens`, async t => {
        const { end, readLog } = await runRole(role, raiseWhileLoading, t.testdir());
        t.equal(end, 0);
        t.notMatch(readLog(), "_started");
    });

    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        void t.test(`${role}: ${signal} during its start stops it as planned with 0`, async t => {
            const { end, readLog } = await runRole(role, raiseWhileListening(signal), t.testdir());
            t.equal(end, 0);
            await waitUntil("the log", () => readLog().includes("event=process_ends status=0 cause=stopSignal"));
        });
    }
}
