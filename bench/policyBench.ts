/**
 * `npm run bench:policy`: overspend, false refusals and goodput of (a) a copy of the limit in each router, (b) equal
 * split, (c) following demand, and (d) a clairvoyant bound, over the same traces. (b) and (c) are replays at real
 * processes; (a) and (d) are worked out from the trace.
 */
import type { ReplayReport } from "../src/replay/replayTrace.js";
import type { TraceLine, TraceRequest } from "../src/replay/trace.js";
import { getDeployment, getOpeningTokens, getTraceBill, loadTrace, runTrace } from "./runTrace.js";

/** One row of the table. */
interface Row {
    readonly overspend: number;
    readonly falseRefusals: number;
    readonly refused: number;
    readonly goodput: number;
}

/** Serves in order of time whatever `admits` lets in; a refusal is false where the whole budget would have covered it. */
function workOut(
    lines: readonly TraceLine[],
    limits: Map<string, number>,
    getPot: (line: TraceRequest) => string,
): Row {
    const spentByPot = new Map<string, number>();
    const spent = new Map<string, number>();
    let falseRefusals = 0;
    let refused = 0;
    let goodput = 0;
    for (const line of lines) {
        if (line.type === "topUp") {
            limits.set(line.budget, (limits.get(line.budget) ?? 0) + line.tokens);
        }
        if (line.type !== "request") {
            continue;
        }
        const budget = `${line.account}-budget`;
        const limit = limits.get(budget)!;
        const bill = getTraceBill(line);
        const pot = getPot(line);
        if ((spentByPot.get(pot) ?? 0) + bill > limit) {
            refused += 1;
            falseRefusals += (spent.get(budget) ?? 0) + bill <= limit ? 1 : 0;
            continue;
        }
        spentByPot.set(pot, (spentByPot.get(pot) ?? 0) + bill);
        spent.set(budget, (spent.get(budget) ?? 0) + bill);
        goodput += Math.min(line.outputTokens, line.maxTokens);
    }
    let overspend = 0;
    spent.forEach((tokens, budget) => overspend += Math.max(0, tokens - limits.get(budget)!));
    return { overspend, falseRefusals, refused, goodput };
}

function createLimits(accounts: readonly string[]): Map<string, number> {
    return new Map(accounts.map((account, i) => [`${account}-budget`, getOpeningTokens(i)]));
}

function createRow(report: ReplayReport): Row {
    return {
        overspend: report.overspend_tokens,
        falseRefusals: report.false_refusals,
        refused: report.refused,
        goodput: report.goodput_tokens,
    };
}

function print(trace: string, policy: string, row: Row): void {
    console.log(
        `trace=${trace} policy=${policy} overspend_tokens=${row.overspend} false_refusals=${row.falseRefusals} refused=${row.refused} goodput_tokens=${row.goodput}`,
    );
}

const names = process.argv.slice(2);
for (
    const name of names.length > 0
        ? names
        : ["vorka-ordinary", "vorka-split", "srp-lima-ordinary", "srp-lima-split"]
) {
    const { accounts } = getDeployment(name);
    const lines = await loadTrace(name);
    print(
        name,
        "a-copy-in-each-router",
        workOut(lines, createLimits(accounts), line => `${line.account}@${line.zone}`),
    );
    print(name, "b-equal-split", createRow(await runTrace(name, { policy: "equalSplit" })));
    print(name, "c-follow-demand", createRow(await runTrace(name, { policy: "followDemand" })));
    print(name, "d-clairvoyant", workOut(lines, createLimits(accounts), line => line.account));
}
process.exit(0);
