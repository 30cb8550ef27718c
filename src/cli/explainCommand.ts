/** `loomwinch explain REQUEST LOG...`: collects what processes logged of one request and prints it in order of time. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { formatValue } from "../adapters/keyValueLog.js";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";

/** One line of a log, taken apart. */
export interface LogLine {
    readonly time: string;
    readonly name: string;
    readonly event: string;
    /** All other fields, in the order they stand in. */
    readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /([\w.]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)/g;
/** Fields that are the same in all lines of a process, or stand in front of the others. */
const LEFT_OUT: ReadonlySet<string> = new Set(["time", "level", "role", "name", "zone", "event", "request"]);
/** Events that say why the final one came out as it did. */
const CAUSES: ReadonlySet<string> = new Set(["tokens_not_reserved", "attempt_ended"]);
const FINAL_EVENT = "request_refused";
const MARK = "*";

/** Prints a request's lines; the one that decided on a refusal is marked. Throws notFound where there are none. */
export async function explainRequest(request: string, paths: readonly string[]): Promise<void> {
    const found = (await Promise.all(paths.map(path => readLines(path, request)))).flat();
    if (found.length === 0) {
        throw new RefusalError(createRefusal("notFound", `no line of request ${request} in ${paths.length} files`));
    }
    formatStory(found).forEach(line => process.stdout.write(`${line}\n`));
}

/** The lines in order of time, each with a mark or a blank in front. */
export function formatStory(lines: readonly LogLine[]): string[] {
    const ordered = [...lines].sort((a, b) => a.time < b.time ? -1 : Number(a.time > b.time));
    const decisive = findDecisive(ordered);
    return ordered.map(line => `${line === decisive ? MARK : " "} ${formatLine(line)}`);
}

/** Takes a line of key=value pairs apart; undefined where it is none of ours. */
export function tryParseLogLine(text: string): LogLine | undefined {
    const fields = new Map<string, string>();
    for (const [, key, value] of text.matchAll(PAIR)) {
        fields.set(key!, value!.startsWith("\"") ? parseQuoted(value!) : value!);
    }
    const [time, name, event] = [fields.get("time"), fields.get("name"), fields.get("event")];
    return time === undefined || name === undefined || event === undefined ? undefined : { time, name, event, fields };
}

/** What stands in quotes; as it is where it was cut off or is no string of ours. */
function parseQuoted(text: string): string {
    try {
        return String(JSON.parse(text));
    }
    catch {
        return text;
    }
}

async function readLines(path: string, request: string): Promise<LogLine[]> {
    const lines: LogLine[] = [];
    const file = createReadStream(path, "utf8");
    try {
        for await (const text of createInterface({ input: file, crlfDelay: Infinity })) {
            // Most lines are of other requests: only those that name this one are taken apart.
            const line = text.includes(request) ? tryParseLogLine(text) : undefined;
            if (line?.fields.get("request") === request) {
                lines.push(line);
            }
        }
    }
    catch (error) {
        throw new RefusalError(createRefusal("notFound", `${path}: ${String(error)}`));
    }
    return lines;
}

/** The last cause before a refusal; the refusal itself where nothing before it says why. */
function findDecisive(ordered: readonly LogLine[]): LogLine | undefined {
    const final = ordered.findIndex(line => line.event === FINAL_EVENT);
    return final < 0
        ? undefined
        : ordered.slice(0, final).filter(line => CAUSES.has(line.event)).at(-1) ?? ordered[final];
}

function formatLine({ time, name, event, fields }: LogLine): string {
    const rest = [...fields].filter(([key]) => !LEFT_OUT.has(key)).map(([key, value]) =>
        `${key}=${formatValue(value)}`
    );
    return [time, name, event, ...rest].join(" ");
}
