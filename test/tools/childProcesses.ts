/** Processes that a test starts. None of them survives it. */
import { type ChildProcess, execFile, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";

/** Build whose programs run; another one can be named to compare it. */
const PROGRAM_ROOT_VARIABLE = "LOOMWINCH_PROGRAM_ROOT";
const ownRoot = join(fileURLToPath(import.meta.url), "..", "..", "..", "..");
/** The program of a box. */
export const programPath = join(process.env[PROGRAM_ROOT_VARIABLE] ?? ownRoot, "dist", "platform", "main.js");

/** Also where the test itself breaks off, nothing that it started goes on. */
const children = new Set<ChildProcess>();
process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));

/** Builds the program as it is deployed; resolves to its path. */
export async function buildDeployedProgram(): Promise<string> {
    const root = process.env[PROGRAM_ROOT_VARIABLE] ?? ownRoot;
    await promisify(execFile)(process.execPath, [join(root, "platform", "build.mjs")], { cwd: root });
    return join(root, "target", "main.mjs");
}

/** Starts Node.js with `args`. `logPath`: a file to which its output is added; it is discarded otherwise. */
export function spawnNode(args: readonly string[], env: NodeJS.ProcessEnv, logPath?: string): ChildProcess {
    const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"], env });
    children.add(child);
    child.once("exit", () => children.delete(child));
    if (logPath === undefined) {
        child.stdout.resume();
        child.stderr.resume();
    }
    else {
        const log = createWriteStream(logPath, { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
    }
    return child;
}

export function isRunning(child: ChildProcess): boolean {
    return child.exitCode === null && child.signalCode === null;
}

/** Sends a signal to a process; resolves when it has ended. */
export async function endProcess(child: ChildProcess, signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
    if (isRunning(child)) {
        const hasEnded = new Promise(resolve => child.once("exit", resolve));
        child.kill(signal);
        await hasEnded;
    }
}
