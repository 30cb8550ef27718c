/**
 * Runs every test file through tap and closes with the line `N passed, N failed`, counted from what the run printed.
 * A failure listed in KNOWN-RED.txt is printed and passed over; everything else that fails, fails the run. The output and the
 * logs of files that failed are kept, whether listed or not.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import { getLogFolderOfFile, TEST_LOGS_VARIABLE } from "./testLogs.js";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "..");
const testFolder = join(root, "dist", "test");
/** Test files that run at once: several of them start a fleet of processes each. */
const JOBS = 2;
const FILE_TIMEOUT_S = 240;
/** Test files that measure the memory of processes, and run one at a time after the others. */
const SINGLE_FILES = /\bhostileClients\.test\.js$/;

/** The result of one named test. */
interface TestResult {
    readonly name: string;
    readonly passed: boolean;
}

function findTestFiles(folder: string): string[] {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        return entry.isDirectory() ? findTestFiles(path) : entry.name.endsWith(".test.js") ? [path] : [];
    }).sort();
}

interface TapRun {
    readonly output: string;
    readonly code: number;
}

async function runAll(files: readonly string[], logFolder: string): Promise<TapRun> {
    const isSingle = (file: string): boolean => SINGLE_FILES.test(file);
    const shared = await runTap(files.filter(file => !isSingle(file)), logFolder, JOBS);
    const single = await runTap(files.filter(isSingle), logFolder, 1);
    return { output: shared.output + single.output, code: Math.max(shared.code, single.code) };
}

function runTap(files: readonly string[], logFolder: string, jobs: number): Promise<TapRun> {
    if (files.length === 0) {
        return Promise.resolve({ output: "", code: 0 });
    }
    const tap = join(root, "node_modules", "tap", "dist", "esm", "run.mjs");
    const args = [
        tap,
        "run",
        "--disable-coverage",
        "--allow-empty-coverage",
        "--reporter=tap",
        `--jobs=${jobs}`,
        `--timeout=${FILE_TIMEOUT_S}`,
    ];
    return new Promise(resolve => {
        const child = spawn(process.execPath, [...args, ...files.map(file => relative(root, file))], {
            cwd: root,
            env: { ...process.env, [TEST_LOGS_VARIABLE]: logFolder },
        });
        let output = "";
        child.stdout.on("data", (bytes: Buffer) => {
            output += bytes.toString();
            process.stdout.write(bytes);
        });
        child.stderr.pipe(process.stderr);
        child.on("close", code => resolve({ output, code: code ?? 1 }));
    });
}

/** A named test stands one level in from its file in what tap prints. */
function getResults(output: string): TestResult[] {
    const results: TestResult[] = [];
    for (const line of output.split("\n")) {
        const match = /^ {4}(ok|not ok) \d+ - (.*?)(?: # .*)?(?: \{)?$/.exec(line);
        if (match !== null) {
            results.push({ name: match[2]!, passed: match[1] === "ok" });
        }
    }
    return results;
}

/** Keeps the output and the logs of the files that failed, and removes everything if none did. */
function keepLogsOfFailures(output: string, logFolder: string): void {
    const passedFiles = output.split("\n").flatMap(line => /^ok \d+ - (\S+\.test\.js)/.exec(line)?.[1] ?? []);
    passedFiles.forEach(file => rmSync(getLogFolderOfFile(logFolder, file), { recursive: true, force: true }));
    if (/^not ok /m.test(output)) {
        writeFileSync(join(logFolder, "output.tap"), output);
        console.log(`output and logs of the files that failed: ${logFolder}`);
    }
    else {
        rmSync(logFolder, { recursive: true, force: true });
    }
}

function readKnownRed(): string[] {
    const lines = readFileSync(join(root, "KNOWN-RED.txt"), "utf8").split("\n");
    return lines.filter(line => line.trim() !== "" && !line.startsWith("#"));
}

const files = process.argv.length > 2 ? process.argv.slice(2) : findTestFiles(testFolder);
const logFolder = process.env[TEST_LOGS_VARIABLE] ?? mkdtempSync(join(tmpdir(), "loomwinch-test-logs-"));
const { output, code } = await runAll(files, logFolder);
keepLogsOfFailures(output, logFolder);
const results = getResults(output);
const knownRed = readKnownRed();
const isKnownRed = (name: string): boolean => knownRed.some(line => line.startsWith(`${name},`));
const failed = results.filter(result => !result.passed);
const unexpected = failed.filter(result => !isKnownRed(result.name));
failed.filter(result => isKnownRed(result.name)).forEach(result => console.log(`known red: ${result.name}`));
const hasResult = (line: string): boolean => results.some(result => line.startsWith(`${result.name},`));
knownRed.filter(line => !hasResult(line)).forEach(line => console.log(`known red, played by hand only: ${line}`));
unexpected.forEach(result => console.log(`failed: ${result.name}`));
const passed = results.length - failed.length;
const brokeOff = code !== 0 && failed.length === 0;
if (brokeOff || results.length === 0) {
    console.log("the run broke off, or ran no test");
}
console.log(`${passed} passed, ${unexpected.length + (brokeOff ? 1 : 0)} failed`);
process.exit(unexpected.length > 0 || brokeOff || results.length === 0 ? 1 : 0);
