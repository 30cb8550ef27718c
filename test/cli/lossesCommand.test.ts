/** Tests the outcome counts by route and cause that are computed from router logs. */
import t from "tap";
import { tryParseLogLine } from "../../src/cli/explainCommand.js";
import { formatLosses, printLosses, recordLogLine } from "../../src/cli/lossesCommand.js";

const PAUSE_LIMIT_MS = 400;

function createLine(event: string, rest: string) {
    return tryParseLogLine(`time=2026-01-01T00:00:00.000Z level=info name=r1 event=${event} ${rest}`)!;
}

void t.test("each answer is counted once, by the first cause that applies, and refusals by result code", t => {
    const losses: Parameters<typeof recordLogLine>[0] = new Map();
    const answers = [
        "reserved_ms=0 first_ms=100 pause_ms=50 sendings=1",
        "reserved_ms=300 first_ms=600 pause_ms=900 sendings=2",
        "reserved_ms=0 first_ms=600 pause_ms=900 sendings=2",
        "reserved_ms=0 first_ms=600 pause_ms=900 sendings=1",
        "reserved_ms=0 first_ms=100 pause_ms=401 sendings=1",
    ];
    answers.forEach(fields =>
        recordLogLine(
            losses,
            createLine("request_answered", `route=a goal_ms=500 age_ms=2000 ${fields}`),
            PAUSE_LIMIT_MS,
        )
    );
    recordLogLine(losses, createLine("request_answered", "route=b goal_ms=100 age_ms=120"), PAUSE_LIMIT_MS);
    recordLogLine(
        losses,
        createLine("request_refused", "route=a refusal=\"LW1203 budgetUnreachable: x\""),
        PAUSE_LIMIT_MS,
    );
    recordLogLine(
        losses,
        createLine("request_refused", "route=a refusal=\"LW1203 budgetUnreachable: y\""),
        PAUSE_LIMIT_MS,
    );
    recordLogLine(losses, createLine("upstream_state", "route=c"), PAUSE_LIMIT_MS);
    const rows = formatLosses(losses).split("\n").map(row => row.split(/ {2,}/));
    t.same(rows.slice(1), [
        ["a", "5", "1", "1", "1", "1", "1", "2 LW1203 budgetUnreachable"],
        ["b", "1", "0", "0", "0", "1", "0"],
    ]);
    t.end();
});

void t.test("a missing file is reported with a result code", async t => {
    await t.rejects(printLosses(["/nowhere/x.log"], PAUSE_LIMIT_MS), { message: /^LW\d{4} notFound/ });
});
