/** Traces: recorded requests, operators' changes and faults, a JSON line each; and the outcomes they are held to. */
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import * as z from "zod";
import { createRefusal, type Refusal } from "../domain/resultCodes.js";

/** Milliseconds since the trace's beginning, in the trace's own time. */
const at = z.number().min(0);

const requestLine = z.strictObject({
    at,
    type: z.literal("request"),
    id: z.string().max(100),
    account: z.string(),
    service: z.string(),
    zone: z.string(),
    /** Characters of the prompt, and the output tokens the answer has. */
    promptChars: z.int().min(1).max(100_000),
    outputTokens: z.int().min(1).max(10_000),
    maxTokens: z.int().min(1).max(10_000),
    deadlineMs: z.int().min(1),
    repeatable: z.boolean(),
    /** Class under which its wait is reported. */
    rank: z.string().max(20),
});
const topUpLine = z.strictObject({
    at,
    type: z.literal("topUp"),
    operationId: z.string(),
    budget: z.string(),
    tokens: z.int().min(1),
    home: z.string(),
});
const changeLine = z.strictObject({
    at,
    type: z.literal("change"),
    kind: z.string(),
    name: z.string(),
    spec: z.record(z.string(), z.unknown()),
});
const faultLine = z.strictObject({
    at,
    type: z.literal("fault"),
    action: z.enum(["kill", "start", "stop", "freeze", "thaw", "cutOff", "heal"]),
    /** Name of a process, or of an availability zone for cutOff and heal. */
    target: z.string(),
});
export const traceLine = z.discriminatedUnion("type", [requestLine, topUpLine, changeLine, faultLine]);
export type TraceLine = z.infer<typeof traceLine>;
export type TraceRequest = z.infer<typeof requestLine>;
export type TraceTopUp = z.infer<typeof topUpLine>;
export type TraceFault = z.infer<typeof faultLine>;

/** The most that each count may come to. Absent: not judged. */
export const outcomeSchema = z.strictObject({
    overspend_tokens: z.int().optional(),
    false_refusals: z.int().optional(),
    billed_twice: z.int().optional(),
    not_billed: z.int().optional(),
    ran_but_refused_not_run: z.int().optional(),
    non_repeatable_reruns: z.int().optional(),
    cut_answers: z.int().optional(),
    foreign_answers: z.int().optional(),
    reverts: z.int().optional(),
});
export type Outcome = z.infer<typeof outcomeSchema>;

/** Reads a trace; every line that does not fit is told, with its number. */
export async function readTrace(path: string): Promise<Result<TraceLine[], Refusal>> {
    const lines: TraceLine[] = [];
    const faults: string[] = [];
    const text = await readFile(path, "utf8");
    for (const [position, line] of text.split("\n").entries()) {
        if (line.trim() === "") {
            continue;
        }
        const parsed = parseLine(line);
        if (parsed.isOk()) {
            lines.push(parsed.value);
        }
        else {
            faults.push(`${path}:${position + 1}: ${parsed.error}`);
        }
    }
    return faults.length > 0 ? err(createRefusal("traceInvalid", faults.join("\n"))) : ok(lines);
}

function parseLine(line: string): Result<TraceLine, string> {
    try {
        const parsed = traceLine.safeParse(JSON.parse(line));
        return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error).replaceAll("\n", " "));
    }
    catch (error) {
        return err((error as Error).message);
    }
}
