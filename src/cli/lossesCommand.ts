/** `loomwinch losses LOG...`: counts request outcomes by route, and the causes of late and refused requests. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import { type LogLine, tryParseLogLine } from "./explainCommand.js";
import { formatTable } from "./table.js";

/** Causes of a late response; the first one that applies is counted. */
type LateCause = "tokens" | "resent" | "first" | "pause";

/** Request outcomes of one route. */
interface RouteLosses {
    answered: number;
    readonly late: Record<LateCause, number>;
    /** Number of refusals by result code. */
    readonly refused: Map<string, number>;
}

const HEADINGS = ["route", "answered", "in time", "waited for tokens", "sent again", "first token", "pause", "refused"];
const ANSWERED_EVENT = "request_answered";
const REFUSED_EVENT = "request_refused";
/** Fraction of the latency goal above which the wait for tokens counts as the cause of a late response. */
const TOKEN_WAIT_FRACTION = 0.5;

/** `pauseLimitMs`: longest pause within a stream that counts as in time. Throws notFound if a file cannot be read. */
export async function printLosses(paths: readonly string[], pauseLimitMs: number): Promise<void> {
    const losses = new Map<string, RouteLosses>();
    for (const path of paths) {
        await readLosses(path, pauseLimitMs, losses);
    }
    process.stdout.write(`${formatLosses(losses)}\n`);
}

export function recordLogLine(losses: Map<string, RouteLosses>, line: LogLine, pauseLimitMs: number): void {
    const route = line.fields.get("route") ?? "";
    if (line.event === ANSWERED_EVENT) {
        const entry = getOrAddEntry(losses, route);
        entry.answered += 1;
        const cause = findLateCause(line, pauseLimitMs);
        if (cause !== undefined) {
            entry.late[cause] += 1;
        }
    }
    else if (line.event === REFUSED_EVENT) {
        const { refused } = getOrAddEntry(losses, route);
        const code = (line.fields.get("refusal") ?? "").split(":")[0]!;
        refused.set(code, (refused.get(code) ?? 0) + 1);
    }
}

/** Formats the table, sorted by number of answered requests, highest first. */
export function formatLosses(losses: ReadonlyMap<string, RouteLosses>): string {
    const rows = [...losses].sort(([, a], [, b]) => b.answered - a.answered).map(
        ([route, { answered, late, refused }]) => {
            const { tokens, resent, first, pause } = late;
            const inTime = answered - tokens - resent - first - pause;
            const codes = [...refused].map(([code, count]) => `${count} ${code}`).join(", ");
            return [route, ...[answered, inTime, tokens, resent, first, pause].map(String), codes];
        },
    );
    return formatTable(HEADINGS, rows);
}

async function readLosses(path: string, pauseLimitMs: number, losses: Map<string, RouteLosses>): Promise<void> {
    try {
        const lines = createInterface({ input: createReadStream(path, "utf8"), crlfDelay: Infinity });
        for await (const text of lines) {
            // The substring check avoids parsing lines of other events.
            const line = text.includes(ANSWERED_EVENT) || text.includes(REFUSED_EVENT)
                ? tryParseLogLine(text)
                : undefined;
            if (line !== undefined) {
                recordLogLine(losses, line, pauseLimitMs);
            }
        }
    }
    catch (error) {
        throw new RefusalError(createRefusal("notFound", `${path}: ${String(error)}`));
    }
}

function findLateCause({ fields }: LogLine, pauseLimitMs: number): LateCause | undefined {
    const getNumber = (key: string): number => Number(fields.get(key) ?? 0);
    const goalMs = getNumber("goal_ms");
    const firstTokenMs = fields.has("first_ms") ? getNumber("first_ms") : getNumber("age_ms");
    if (goalMs > 0 && firstTokenMs > goalMs) {
        const isTokenWait = getNumber("reserved_ms") > goalMs * TOKEN_WAIT_FRACTION;
        return isTokenWait ? "tokens" : getNumber("sendings") > 1 ? "resent" : "first";
    }
    return getNumber("pause_ms") > pauseLimitMs ? "pause" : undefined;
}

function getOrAddEntry(losses: Map<string, RouteLosses>, route: string): RouteLosses {
    let entry = losses.get(route);
    if (entry === undefined) {
        entry = { answered: 0, late: { tokens: 0, resent: 0, first: 0, pause: 0 }, refused: new Map() };
        losses.set(route, entry);
    }
    return entry;
}
