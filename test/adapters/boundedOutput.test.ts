/** Log lines that wait for a batch are written in order, soon, and also if the process exits. */
import { execFile } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import t from "tap";
import { BoundedOutput } from "../../src/adapters/boundedOutput.js";
import { waitUntil } from "../tools/waiting.js";

/** Opens an output to a file and returns it with a function that reads the file. */
function openOutput(t: { testdir(): string; teardown(handler: () => void): void; }) {
    const path = join(t.testdir(), "log");
    const fd = openSync(path, "w");
    t.teardown(() => closeSync(fd));
    return { output: new BoundedOutput(fd), read: () => readFileSync(path, "utf8") };
}

void t.test("lines of low priority wait for further ones and are then written in order", async t => {
    const { output, read } = openOutput(t);
    output.writeLine("a\n", true);
    await new Promise(setImmediate);
    output.writeLine("b\n", true);
    t.equal(read(), "");
    await waitUntil("both lines", () => read() === "a\nb\n");
    output.writeLine("c\n", true);
    await waitUntil("a line after the batch", () => read() === "a\nb\nc\n");
});

void t.test("a line of high priority is written at once, after the lines before it", async t => {
    const { output, read } = openOutput(t);
    const { setTimeout } = globalThis;
    // Without timers, no batch is ever due.
    globalThis.setTimeout = (() => undefined) as unknown as typeof setTimeout;
    try {
        output.writeLine("a\n", true);
        output.writeLine("warning\n", false);
    }
    finally {
        globalThis.setTimeout = setTimeout;
    }
    await waitUntil("both lines", () => read() === "a\nwarning\n", 5_000);
});

void t.test("lines that wait are written when the process exits", async t => {
    const url = new URL("../../src/adapters/boundedOutput.js", import.meta.url).href;
    const script = `
        const { BoundedOutput } = await import(${JSON.stringify(url)});
        new BoundedOutput(1).writeLine("last\\n", true);
        process.exit(0);
    `;
    const { stdout } = await promisify(execFile)(process.execPath, ["--input-type=module", "-e", script]);
    t.equal(stdout, "last\n");
});

void t.test("lines that wait for an earlier write are written when the process exits, in the handler too", async t => {
    const url = new URL("../../src/adapters/boundedOutput.js", import.meta.url).href;
    const script = `
        process.prependListener("exit", () => output.writeLine("from the handler\\n", false));
        const { BoundedOutput } = await import(${JSON.stringify(url)});
        const output = new BoundedOutput(1);
        output.writeLine("at once\\n", false);
        output.writeLine("last\\n", true);
        process.exit(0);
    `;
    const { stdout } = await promisify(execFile)(process.execPath, ["--input-type=module", "-e", script]);
    t.match(stdout, /last\nfrom the handler\n/);
});
