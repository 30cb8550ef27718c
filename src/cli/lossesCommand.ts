/** `loomwinch losses LOG...`: counts by route what became of requests, and why answers were late or refused. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import { type LogLine, tryParseLogLine } from "./explainCommand.js";
import { formatTable } from "./table.js";

/** Why an answer was late, the first one that holds. */
type LateCause = "tokens" | "resent" | "first" | "pause";

/** What became of a route's requests. */
interface RouteLosses {
    answered: number;
    readonly late: Record<LateCause, number>;
    /** Refusals by code. */
    readonly refused: Map<string, number>;
}

const HEADINGS = ["route", "answered", "in time", "waited for tokens", "sent again", "first token", "pause", "refused"];
const ANSWERED = "request_answered";
const REFUSED = "request_refused";
/** A wait for tokens that takes more of the goal than this is the cause of a late answer. */
const TOKEN_WAIT_PART = 0.5;

/** Prints the table. `pauseLimitMs`: longest pause within a stream that is in time. Throws notFound for a file. */
export async function printLosses(paths: readonly string[], pauseLimitMs: number): Promise<void> {
    const losses = new Map<string, RouteLosses>();
    for (const path of paths) {
        await readLosses(path, pauseLimitMs, losses);
    }
    process.stdout.write(`${formatLosses(losses)}\n`);
}

/** Counts one line of a log. */
export function addLine(losses: Map<string, RouteLosses>, line: LogLine, pauseLimitMs: number): void {
    const route = line.fields.get("route") ?? "";
    if (line.event === ANSWERED) {
        const entry = getEntry(losses, route);
        entry.answered += 1;
        const cause = findLateCause(line, pauseLimitMs);
        if (cause !== undefined) {
            entry.late[cause] += 1;
        }
    }
    else if (line.event === REFUSED) {
        const { refused } = getEntry(losses, route);
        const code = (line.fields.get("refusal") ?? "").split(":")[0]!;
        refused.set(code, (refused.get(code) ?? 0) + 1);
    }
}

/** The table, the route with most requests first. */
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
            // Most lines are of other events: only those that count are taken apart.
            const line = text.includes(ANSWERED) || text.includes(REFUSED) ? tryParseLogLine(text) : undefined;
            if (line !== undefined) {
                addLine(losses, line, pauseLimitMs);
            }
        }
    }
    catch (error) {
        throw new RefusalError(createRefusal("notFound", `${path}: ${String(error)}`));
    }
}

function findLateCause({ fields }: LogLine, pauseLimitMs: number): LateCause | undefined {
    const get = (key: string): number => Number(fields.get(key) ?? 0);
    const goalMs = get("goal_ms");
    const beganMs = fields.has("first_ms") ? get("first_ms") : get("age_ms");
    if (goalMs > 0 && beganMs > goalMs) {
        const hasWaited = get("reserved_ms") > goalMs * TOKEN_WAIT_PART;
        return hasWaited ? "tokens" : get("sendings") > 1 ? "resent" : "first";
    }
    return get("pause_ms") > pauseLimitMs ? "pause" : undefined;
}

function getEntry(losses: Map<string, RouteLosses>, route: string): RouteLosses {
    let entry = losses.get(route);
    if (entry === undefined) {
        entry = { answered: 0, late: { tokens: 0, resent: 0, first: 0, pause: 0 }, refused: new Map() };
        losses.set(route, entry);
    }
    return entry;
}
