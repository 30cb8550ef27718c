/** Schemas and reader for traces (JSON lines of requests, operator changes and faults) and their expected outcomes. */
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import * as z from "zod";
import { createRefusal, type Refusal } from "../domain/resultCodes.js";

/** Milliseconds since the start of the trace, in trace time. */
const at = z.number().min(0);

const requestLineSchema = z.strictObject({
    at,
    type: z.literal("request"),
    id: z.string().max(100),
    account: z.string(),
    service: z.string(),
    zone: z.string(),
    /** Length of the prompt in characters. */
    promptChars: z.int().min(1).max(100_000),
    outputTokens: z.int().min(1).max(10_000),
    maxTokens: z.int().min(1).max(10_000),
    deadlineMs: z.int().min(1),
    repeatable: z.boolean(),
    /** Group for latency reporting. */
    rank: z.string().max(20),
});
const topUpLineSchema = z.strictObject({
    at,
    type: z.literal("topUp"),
    operationId: z.string(),
    budget: z.string(),
    tokens: z.int().min(1),
    home: z.string(),
});
const changeLineSchema = z.strictObject({
    at,
    type: z.literal("change"),
    kind: z.string(),
    name: z.string(),
    spec: z.record(z.string(), z.unknown()),
});
const faultLineSchema = z.strictObject({
    at,
    type: z.literal("fault"),
    action: z.enum(["kill", "start", "stop", "freeze", "thaw", "cutOff", "heal"]),
    /** Name of a process; for cutOff and heal, of an availability zone. */
    target: z.string(),
});
export const traceLineSchema = z.discriminatedUnion("type", [
    requestLineSchema,
    topUpLineSchema,
    changeLineSchema,
    faultLineSchema,
]);
export type TraceLine = z.infer<typeof traceLineSchema>;
export type TraceRequest = z.infer<typeof requestLineSchema>;
export type TraceTopUp = z.infer<typeof topUpLineSchema>;
export type TraceFault = z.infer<typeof faultLineSchema>;

/** Upper limit of each count; a count without a limit is not checked. */
export const expectedOutcomeSchema = z.strictObject({
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
export type ExpectedOutcome = z.infer<typeof expectedOutcomeSchema>;

/** Reads a trace. The error lists every invalid line with its line number. */
export async function readTrace(path: string): Promise<Result<TraceLine[], Refusal>> {
    const lines: TraceLine[] = [];
    const errors: string[] = [];
    const text = await readFile(path, "utf8");
    for (const [index, line] of text.split("\n").entries()) {
        if (line.trim() === "") {
            continue;
        }
        const parsed = parseLine(line);
        if (parsed.isOk()) {
            lines.push(parsed.value);
        }
        else {
            errors.push(`${path}:${index + 1}: ${parsed.error}`);
        }
    }
    return errors.length > 0 ? err(createRefusal("traceInvalid", errors.join("\n"))) : ok(lines);
}

function parseLine(line: string): Result<TraceLine, string> {
    try {
        const parsed = traceLineSchema.safeParse(JSON.parse(line));
        return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error).replaceAll("\n", " "));
    }
    catch (error) {
        return err((error as Error).message);
    }
}
