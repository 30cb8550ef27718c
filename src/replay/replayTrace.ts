/** Replays a trace at the addresses of a running fleet, and counts what its promises came to. */
import { request } from "undici";
import * as z from "zod";
import { callOperatorApi, type OperatorTarget } from "../cli/operatorClient.js";
import type { FleetStatus } from "../daemons/controller/statusService.js";
import { countPromptTokens, getStandInAnswer } from "../daemons/standIn/standInAnswers.js";
import type { BillRecord } from "../domain/billStore.js";
import { askChatAt, type CallResult } from "./chatCaller.js";
import type { TraceLine, TraceRequest } from "./trace.js";
import { TrueState } from "./trueState.js";

/** Where a fleet is. */
export const fleetSchema = z.strictObject({
    /** Routers by availability zone; a request of a zone without one goes to the next. */
    routers: z.array(z.strictObject({ zone: z.string(), url: z.url() })).min(1),
    controllers: z.array(z.strictObject({ name: z.string(), server: z.url() })).min(1),
    operatorToken: z.string(),
    /** Bearer keys by client account. */
    keys: z.record(z.string(), z.string()),
    /** Budget of each client account. */
    budgets: z.record(z.string(), z.string()),
    /** Stand-ins by service, asked for what really ran. */
    standIns: z.record(z.string(), z.array(z.url())),
    /** Runs that each service can have at once. */
    slots: z.record(z.string(), z.int()),
    /** Milliseconds of the trace in one millisecond of the replay. */
    timeFactor: z.number().positive().default(1),
});
export type ReplayFleet = z.infer<typeof fleetSchema>;

/** What a replay came to. */
export interface ReplayReport {
    readonly requests: number;
    readonly answered: number;
    readonly refused: number;
    readonly refusedByCode: Readonly<Record<string, number>>;
    readonly goodput_tokens: number;
    readonly overspend_tokens: number;
    readonly false_refusals: number;
    readonly billed_twice: number;
    readonly not_billed: number;
    readonly ran_but_refused_not_run: number;
    readonly non_repeatable_reruns: number;
    readonly cut_answers: number;
    readonly foreign_answers: number;
    readonly reverts: number;
    /** Milliseconds to the first part of the answer, by rank: median and 99th percentile. */
    readonly waits: Readonly<Record<string, { readonly p50: number; readonly p99: number; }>>;
    /** Milliseconds to a refusal: median and 99th percentile. */
    readonly refusalMs: { readonly p50: number; readonly p99: number; };
}

interface ReplayedRequest {
    readonly line: TraceRequest;
    readonly result: CallResult;
    readonly falseRefusal: boolean;
}

const SETTLE_TIMEOUT_MS = 20_000;
const SETTLE_TURN_MS = 200;
const BILLS_ASKED = 10_000;

/** `onFault` is called for each fault of the trace: the replay itself starts and ends no process. */
export async function replayTrace(
    lines: readonly TraceLine[],
    fleet: ReplayFleet,
    onFault: (line: Extract<TraceLine, { type: "fault"; }>) => Promise<void> = () => Promise.resolve(),
): Promise<ReplayReport> {
    const startedAt = performance.now();
    const trueState = new TrueState(fleet.slots);
    const replayed: ReplayedRequest[] = [];
    const revisions = startRevisionWatch(fleet);
    const before = await tryGetStatus(fleet);
    for (const [budget, status] of Object.entries(before?.budgets ?? {})) {
        trueState.addTopUp(budget, status.toppedUp - status.spent);
    }
    const work = lines.map(async line => {
        await wait(line.at / fleet.timeFactor - (performance.now() - startedAt));
        switch (line.type) {
            case "request":
                replayed.push(await replayRequest(line, fleet, trueState));
                return;
            case "topUp":
                return replayTopUp(line, fleet, trueState);
            case "change":
                await callAnyController(fleet, "PUT", `/api/v1/objects/${line.kind}/${line.name}`, { spec: line.spec });
                return;
            case "fault":
                return onFault(line);
        }
    });
    await Promise.all(work);
    const reverts = revisions.stop();
    return createReport(replayed, fleet, trueState, reverts);
}

async function replayRequest(line: TraceRequest, fleet: ReplayFleet, trueState: TrueState): Promise<ReplayedRequest> {
    const messages = createTraceMessages(line);
    const router = fleet.routers.find(candidate => candidate.zone === line.zone) ?? fleet.routers[0]!;
    const bill = countPromptTokens(messages) + Math.min(line.outputTokens, line.maxTokens);
    const bound = Buffer.byteLength(JSON.stringify(messages)) + line.maxTokens;
    const budget = fleet.budgets[line.account]!;
    trueState.begin(line.id, budget, line.service, bound);
    const result = await askChatAt({
        url: router.url,
        key: fleet.keys[line.account]!,
        model: line.service,
        messages,
        maxTokens: line.maxTokens,
        stream: true,
        headers: {
            "idempotency-key": line.id,
            "x-loomwinch-deadline-ms": String(line.deadlineMs),
            "x-loomwinch-repeatable": String(line.repeatable),
        },
    });
    const falseRefusal = result.error !== undefined && trueState.couldHaveServed(line.id);
    trueState.end(line.id, result.whole ? bill : 0);
    return { line, result, falseRefusal };
}

/** The messages of a trace's request: as long as it says, and asking the stand-in for as many tokens. */
export function createTraceMessages(line: TraceRequest): { role: string; content: string; }[] {
    const text = `${line.id} out=${line.outputTokens} `;
    return [{ role: "user", content: `${"x".repeat(Math.max(0, line.promptChars - text.length))} ${text}` }];
}

async function replayTopUp(
    line: Extract<TraceLine, { type: "topUp"; }>,
    fleet: ReplayFleet,
    trueState: TrueState,
): Promise<void> {
    const { operationId, budget, tokens, home } = line;
    const controller = fleet.controllers.find(candidate => candidate.name === home) ?? fleet.controllers[0]!;
    const target = { server: controller.server, token: fleet.operatorToken };
    for (let attempt = 0; attempt < 40; attempt++) {
        try {
            await callOperatorApi(target, "POST", "/api/v1/top-ups", { operationId, budget, tokens, home });
            trueState.addTopUp(budget, tokens);
            return;
        }
        catch {
            await wait(500);
        }
    }
}

/** Asks the routers again and again for the revision they run; counts how often one goes back. */
function startRevisionWatch(fleet: ReplayFleet): { stop: () => number; } {
    let reverts = 0;
    const highest = new Map<string, number>();
    const timer = setInterval(() => {
        void tryGetStatus(fleet).then(status => {
            for (const daemon of status?.daemons ?? []) {
                const key = `${daemon.name}#${daemon.incarnation}`;
                // Whoever asks a controller that is cut off may see an old report; only a fresh one counts.
                if (daemon.silentMs < 1_000 && daemon.revision < (highest.get(key) ?? 0)) {
                    reverts += 1;
                }
                highest.set(key, Math.max(daemon.revision, highest.get(key) ?? 0));
            }
        });
    }, 500);
    return {
        stop: () => {
            clearInterval(timer);
            return reverts;
        },
    };
}

async function createReport(
    replayed: readonly ReplayedRequest[],
    fleet: ReplayFleet,
    trueState: TrueState,
    reverts: number,
): Promise<ReplayReport> {
    const answered = replayed.filter(entry => entry.result.whole);
    const refused = replayed.filter(entry => entry.result.error !== undefined);
    const bills = await waitForBills(answered, fleet);
    const runs = await getRuns(fleet);
    const getRunCount = (entry: ReplayedRequest): number => runs.get(`${entry.line.account}/${entry.line.id}`) ?? 0;
    const isForeign = (entry: ReplayedRequest): boolean =>
        !getStandInAnswer(createTraceMessages(entry.line), entry.line.maxTokens).startsWith(entry.result.text);
    const refusedByCode: Record<string, number> = {};
    refused.forEach(entry =>
        refusedByCode[entry.result.error!.type] = (refusedByCode[entry.result.error!.type] ?? 0) + 1
    );
    return {
        requests: replayed.length,
        answered: answered.length,
        refused: refused.length,
        refusedByCode,
        goodput_tokens: answered.reduce(
            (sum, entry) => sum + Math.min(entry.line.outputTokens, entry.line.maxTokens),
            0,
        ),
        overspend_tokens: trueState.getOverspend(),
        false_refusals: refused.filter(entry => entry.falseRefusal).length,
        billed_twice: answered.filter(entry => (bills.get(getRequestId(entry)) ?? []).length > 1).length,
        not_billed: answered.filter(entry => (bills.get(getRequestId(entry)) ?? []).length === 0).length,
        ran_but_refused_not_run:
            refused.filter(entry => entry.result.error!.ran === "no" && getRunCount(entry) > 0).length,
        non_repeatable_reruns: replayed.filter(entry => !entry.line.repeatable && getRunCount(entry) > 1).length,
        cut_answers: replayed.filter(entry => !entry.result.whole && entry.result.error === undefined).length,
        foreign_answers: replayed.filter(isForeign).length,
        reverts,
        waits: getWaits(answered),
        refusalMs: getPercentiles(refused.map(entry => entry.result.firstMs)),
    };
}

function getRequestId(entry: ReplayedRequest): string {
    return `${entry.line.account}/${entry.line.id}`;
}

/** Bills that stand, by request id, from every ledger; waits until every answered request has one, or time is up. */
async function waitForBills(
    answered: readonly ReplayedRequest[],
    fleet: ReplayFleet,
): Promise<Map<string, BillRecord[]>> {
    const deadline = performance.now() + SETTLE_TIMEOUT_MS;
    for (;;) {
        const bills = new Map<string, BillRecord[]>();
        for (const controller of fleet.controllers) {
            const target = { server: controller.server, token: fleet.operatorToken };
            const answer = await callOperatorApi(target, "GET", `/api/v1/bills?limit=${BILLS_ASKED}`).catch(() => ({
                items: [],
            })) as { items: BillRecord[]; };
            for (const bill of answer.items.filter(candidate => !candidate.withdrawn)) {
                bills.set(bill.requestId, [...bills.get(bill.requestId) ?? [], bill]);
            }
        }
        if (answered.every(entry => bills.get(getRequestId(entry))?.length === 1) || performance.now() > deadline) {
            return bills;
        }
        await wait(SETTLE_TURN_MS);
    }
}

/** How often each request really ran, over all stand-ins that can be asked. */
async function getRuns(fleet: ReplayFleet): Promise<Map<string, number>> {
    const runs = new Map<string, number>();
    for (const url of Object.values(fleet.standIns).flat()) {
        const response = await request(`${url}/runs`).catch(() => undefined);
        for (
            const [id, count] of Object.entries(await response?.body.json() as Record<string, number> | undefined ?? {})
        ) {
            runs.set(id, (runs.get(id) ?? 0) + count);
        }
    }
    return runs;
}

function getWaits(answered: readonly ReplayedRequest[]): Record<string, { p50: number; p99: number; }> {
    const ranks = [...new Set(answered.map(entry => entry.line.rank))].sort();
    return Object.fromEntries(
        ranks.map(rank => [
            rank,
            getPercentiles(answered.filter(entry => entry.line.rank === rank).map(entry => entry.result.firstMs)),
        ]),
    );
}

function getPercentiles(values: readonly number[]): { p50: number; p99: number; } {
    const sorted = [...values].sort((a, b) => a - b);
    const pick = (part: number): number =>
        Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0);
    return { p50: pick(0.5), p99: pick(0.99) };
}

async function tryGetStatus(fleet: ReplayFleet): Promise<FleetStatus | undefined> {
    return callAnyController(fleet, "GET", "/api/v1/status").then(status => status as FleetStatus, () => undefined);
}

async function callAnyController(
    fleet: ReplayFleet,
    method: "GET" | "PUT",
    path: string,
    body?: unknown,
): Promise<unknown> {
    let last: unknown;
    for (const controller of fleet.controllers) {
        const target: OperatorTarget = { server: controller.server, token: fleet.operatorToken };
        try {
            return await callOperatorApi(target, method, path, body);
        }
        catch (error) {
            last = error;
        }
    }
    throw last;
}

function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
