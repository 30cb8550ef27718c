/** `loomwinch explain REQUEST LOG...`: prints the log lines of one request in chronological order. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { formatValue } from "../adapters/keyValueLog.js";
import { isSubset } from "../domain/crashEvidence.js";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import {
    compareTimes,
    isLeaderlessRefusal,
    isLeaderStateBefore,
    LEADER_STATE_EVENTS,
    selectLeaderState,
    tryFindFailedElection,
} from "./leaderState.js";

/** A parsed log line. */
export interface LogLine {
    readonly time: string;
    readonly name: string;
    readonly event: string;
    /** All fields, including the three above, in the order of the line. */
    readonly fields: ReadonlyMap<string, string>;
}

const FIELD_PATTERN = /([\w.]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)/g;
/** Fields that are constant within a process or that are printed first. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set(["time", "level", "role", "name", "zone", "event", "request"]);
/** Events that may explain a refusal. */
const CAUSE_EVENTS: ReadonlySet<string> = new Set([
    "tokens_not_reserved",
    "attempt_ended",
    "stream_not_resumed",
    "request_quarantined",
]);
const REFUSAL_EVENT = "request_refused";
const UNDELIVERED_EVENT = "answer_undelivered";
const STOP_EVENTS: ReadonlySet<string> = new Set(["router_stopping", "stop_progress", "relay_closed", "relay_failed"]);
/** The close of a caller's connection as the router saw it that relayed the connection. */
const RELAYED_CLOSE_EVENT = "relay_caller_closed";
const QUARANTINE_PATTERN = /requestQuarantined: (\S+)/;
const CAUSE_MARKER = "*";

/**
 * Prints the lines of a request and marks the cause of a refusal; of a quarantine also the lines of the requests that ended
 * upstreams; of an answer that was not delivered, the stops of the router and of the one that relayed its connection, and when that
 * one read the caller's close; of a refusal for want of a leader, what controllers logged of elections and of the replica set. Throws
 * notFound if there are no such lines.
 */
export async function explainRequest(request: string, paths: readonly string[]): Promise<void> {
    const ownLines = await readLinesOfFiles(paths, [request], line => line.fields.get("request") === request);
    const quarantine = ownLines.map(tryGetQuarantine).find(attributes => attributes !== undefined);
    const evidence = quarantine === undefined
        ? []
        : await readLinesOfFiles(paths, quarantine.map(getValue), line => isEvidence(line, quarantine));
    const stopLines = await readStopLines(ownLines, paths);
    // First, so that a failed election of the same millisecond counts as before the refusal.
    const leaderLines = await readLeaderState(ownLines, paths);
    const lines = [
        ...leaderLines,
        ...ownLines,
        ...stopLines,
        ...evidence.filter(line => line.fields.get("request") !== request),
    ];
    if (lines.length === 0) {
        throw new RefusalError(
            createRefusal("notFound", `request ${request} does not appear in any of ${paths.length} log files`),
        );
    }
    formatTimeline(lines, request).forEach(line => process.stdout.write(`${line}\n`));
}

/**
 * Formats the lines in chronological order, each prefixed with the cause marker or a space. Lines of others than `request` name
 * theirs.
 */
export function formatTimeline(lines: readonly LogLine[], request?: string): string[] {
    const sortedLines = [...lines].sort(compareTimes);
    const cause = findRefusalCause(sortedLines);
    return sortedLines.map(line => `${line === cause ? CAUSE_MARKER : " "} ${formatLine(line, request)}`);
}

/** Parses a line of key=value pairs; undefined if a required field is missing. */
export function tryParseLogLine(text: string): LogLine | undefined {
    const fields = new Map<string, string>();
    for (const [, key, value] of text.matchAll(FIELD_PATTERN)) {
        fields.set(key!, value!.startsWith("\"") ? parseQuotedValue(value!) : value!);
    }
    const [time, name, event] = [fields.get("time"), fields.get("name"), fields.get("event")];
    return time === undefined || name === undefined || event === undefined ? undefined : { time, name, event, fields };
}

/** Decodes a quoted value; returns it unchanged if it is not valid JSON. */
function parseQuotedValue(text: string): string {
    try {
        return String(JSON.parse(text));
    }
    catch {
        return text;
    }
}

/** Returns the attributes because of which a request was refused; undefined if that is not the reason. */
function tryGetQuarantine({ event, fields }: LogLine): string[] | undefined {
    const refusal = event === REFUSAL_EVENT ? fields.get("refusal") : undefined;
    return refusal === undefined ? undefined : QUARANTINE_PATTERN.exec(refusal)?.[1]!.split(",");
}

/**
 * Whether a line shows a request with all the attributes that was interrupted, the decision to block them or to block them no longer,
 * or a request whose answer clears one of them.
 */
function isEvidence({ event, fields }: LogLine, attributes: readonly string[]): boolean {
    if (event === "request_quarantined" || event === "quarantine_lifted") {
        return fields.get("quarantine") === attributes.join(",");
    }
    if (event === "suspect_cleared") {
        return attributes.includes(fields.get("attribute") ?? "");
    }
    const shared = [...fields.get("shared")?.split(",") ?? [], `content:${fields.get("fingerprint")}`];
    return event === "attempt_ended" && isSubset(attributes, shared);
}

/** Reads how the routers of an answer that was not delivered were stopping, and when the caller's close was read. */
async function readStopLines(ownLines: readonly LogLine[], paths: readonly string[]): Promise<LogLine[]> {
    const undelivered = ownLines.find(({ event }) => event === UNDELIVERED_EVENT);
    if (undelivered === undefined) {
        return [];
    }
    const relay = undelivered.fields.get("relay");
    const starts = relay === undefined
        ? []
        : await readLinesOfFiles(paths, [relay], ({ fields }) => fields.get("incarnation") === relay);
    const names = new Set([undelivered.name, ...starts.map(({ name }) => name)]);
    const port = undelivered.fields.get("relay_port");
    const isSelected = ({ event, name, fields }: LogLine): boolean => {
        const isClose = event === RELAYED_CLOSE_EVENT && port !== undefined && fields.get("port") === port;
        return names.has(name) && (STOP_EVENTS.has(event) || isClose);
    };
    return readLinesOfFiles(paths, [...STOP_EVENTS, RELAYED_CLOSE_EVENT], isSelected);
}

/** Reads what controllers logged of elections and of the replica set before a refusal for want of a leader. */
async function readLeaderState(ownLines: readonly LogLine[], paths: readonly string[]): Promise<LogLine[]> {
    const refusal = ownLines.find(isLeaderlessRefusal);
    return refusal === undefined
        ? []
        : selectLeaderState(
            refusal,
            await readLinesOfFiles(paths, LEADER_STATE_EVENTS, line => isLeaderStateBefore(refusal, line)),
        );
}

/** Returns the value of an attribute, which a line may name without its kind. */
function getValue(attribute: string): string {
    return attribute.slice(attribute.indexOf(":") + 1);
}

async function readLinesOfFiles(
    paths: readonly string[],
    texts: readonly string[],
    isSelected: (line: LogLine) => boolean,
): Promise<LogLine[]> {
    return (await Promise.all(paths.map(path => readLines(path, texts, isSelected)))).flat();
}

/** `texts`: each selected line contains one of them. */
async function readLines(
    path: string,
    texts: readonly string[],
    isSelected: (line: LogLine) => boolean,
): Promise<LogLine[]> {
    const lines: LogLine[] = [];
    const file = createReadStream(path, "utf8");
    try {
        for await (const row of createInterface({ input: file, crlfDelay: Infinity })) {
            // The substring check avoids parsing all other lines.
            const line = texts.some(text => row.includes(text)) ? tryParseLogLine(row) : undefined;
            if (line !== undefined && isSelected(line)) {
                lines.push(line);
            }
        }
    }
    catch (error) {
        throw new RefusalError(createRefusal("notFound", `${path}: ${String(error)}`));
    }
    return lines;
}

/** Finds the last failed election or cause event before the refusal, or the refusal itself if there is none. */
function findRefusalCause(sortedLines: readonly LogLine[]): LogLine | undefined {
    const refusalIndex = sortedLines.findIndex(line => line.event === REFUSAL_EVENT);
    if (refusalIndex < 0) {
        return undefined;
    }
    const earlierLines = sortedLines.slice(0, refusalIndex);
    return tryFindFailedElection(earlierLines)
        ?? earlierLines.filter(line => CAUSE_EVENTS.has(line.event)).at(-1)
        ?? sortedLines[refusalIndex];
}

function formatLine({ time, name, event, fields }: LogLine, request: string | undefined): string {
    const other = fields.get("request");
    const id = request === undefined || other === undefined || other === request ? [] : [`request=${other}`];
    const otherFields = [...fields].filter(([key]) => !OMITTED_FIELDS.has(key)).map(([key, value]) =>
        `${key}=${formatValue(value)}`
    );
    return [time, name, event, ...id, ...otherFields].join(" ");
}
