/** Replays a trace against a running fleet and counts violations of its guarantees. */
import { request } from "undici";
import * as z from "zod";
import { callOperatorApi, type OperatorTarget } from "../cli/operatorClient.js";
import type { FleetStatus } from "../daemons/controller/statusService.js";
import { countPromptTokens, getStandInAnswer } from "../daemons/standIn/standInAnswers.js";
import type { BillRecord } from "../domain/billStore.js";
import { type ChatResult, sendChatRequest } from "./chatClient.js";
import { FleetModel } from "./fleetModel.js";
import type { TraceLine, TraceRequest } from "./trace.js";

/** Addresses and credentials of a fleet. */
export const fleetSchema = z.strictObject({
    /** Routers by availability zone; requests of a zone without a router use the first entry. */
    routers: z.array(z.strictObject({ zone: z.string(), url: z.url() })).min(1),
    controllers: z.array(z.strictObject({ name: z.string(), server: z.url() })).min(1),
    operatorToken: z.string(),
    /** Bearer keys by client account. */
    keys: z.record(z.string(), z.string()),
    /** Budget of each client account. */
    budgets: z.record(z.string(), z.string()),
    /** Stand-in URLs by service; queried for the requests that were executed. */
    standIns: z.record(z.string(), z.array(z.url())),
    /** Maximum number of concurrent runs by service. */
    slots: z.record(z.string(), z.int()),
    /** Replay speed: trace time divided by real time. */
    timeFactor: z.number().positive().default(1),
});
export type ReplayFleet = z.infer<typeof fleetSchema>;

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
    /** Time to the response headers of answered requests by rank, in milliseconds. */
    readonly waits: Readonly<Record<string, { readonly p50: number; readonly p99: number; }>>;
    /** Time to the response headers of refused requests, in milliseconds. */
    readonly refusalMs: { readonly p50: number; readonly p99: number; };
}

interface ReplayedRequest {
    readonly line: TraceRequest;
    readonly result: ChatResult;
    readonly isFalseRefusal: boolean;
}

const BILLING_TIMEOUT_MS = 20_000;
const BILLING_POLL_INTERVAL_MS = 200;
const MAX_BILLS = 10_000;

/** `onFault`: injects a fault of the trace; the replay itself does not start or stop processes. */
export async function replayTrace(
    lines: readonly TraceLine[],
    fleet: ReplayFleet,
    onFault: (line: Extract<TraceLine, { type: "fault"; }>) => Promise<void> = () => Promise.resolve(),
): Promise<ReplayReport> {
    const startedAt = performance.now();
    const model = new FleetModel(fleet.slots);
    const replayed: ReplayedRequest[] = [];
    const revisionMonitor = startRevisionMonitor(fleet);
    const before = await tryGetStatus(fleet);
    for (const [budget, status] of Object.entries(before?.budgets ?? {})) {
        model.addTopUp(budget, status.toppedUp - status.spent);
    }
    const tasks = lines.map(async line => {
        await delay(line.at / fleet.timeFactor - (performance.now() - startedAt));
        switch (line.type) {
            case "request":
                replayed.push(await replayRequest(line, fleet, model));
                return;
            case "topUp":
                return replayTopUp(line, fleet, model);
            case "change":
                await callAnyController(fleet, "PUT", `/api/v1/objects/${line.kind}/${line.name}`, { spec: line.spec });
                return;
            case "fault":
                return onFault(line);
        }
    });
    await Promise.all(tasks);
    const reverts = revisionMonitor.stop();
    return createReport(replayed, fleet, model, reverts);
}

async function replayRequest(line: TraceRequest, fleet: ReplayFleet, model: FleetModel): Promise<ReplayedRequest> {
    const messages = createTraceMessages(line);
    const router = fleet.routers.find(candidate => candidate.zone === line.zone) ?? fleet.routers[0]!;
    const billedTokens = countPromptTokens(messages) + Math.min(line.outputTokens, line.maxTokens);
    const maxTokens = Buffer.byteLength(JSON.stringify(messages)) + line.maxTokens;
    const budget = fleet.budgets[line.account]!;
    model.startRequest(line.id, budget, line.service, maxTokens);
    const result = await sendChatRequest({
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
    const falseRefusal = result.error !== undefined && model.isServable(line.id);
    model.endRequest(line.id, result.isComplete ? billedTokens : 0);
    return { line, result, isFalseRefusal: falseRefusal };
}

/** Creates a prompt of the recorded length that makes the stand-in generate the recorded number of output tokens. */
export function createTraceMessages(line: TraceRequest): { role: string; content: string; }[] {
    const text = `${line.id} out=${line.outputTokens} `;
    return [{ role: "user", content: `${"x".repeat(Math.max(0, line.promptChars - text.length))} ${text}` }];
}

async function replayTopUp(
    line: Extract<TraceLine, { type: "topUp"; }>,
    fleet: ReplayFleet,
    model: FleetModel,
): Promise<void> {
    const { operationId, budget, tokens, home } = line;
    const controller = fleet.controllers.find(candidate => candidate.name === home) ?? fleet.controllers[0]!;
    const target = { server: controller.server, token: fleet.operatorToken };
    for (let attempt = 0; attempt < 40; attempt++) {
        try {
            await callOperatorApi(target, "POST", "/api/v1/top-ups", { operationId, budget, tokens, home });
            model.addTopUp(budget, tokens);
            return;
        }
        catch {
            await delay(500);
        }
    }
}

/** Polls the revisions that daemons report and counts decreases. */
function startRevisionMonitor(fleet: ReplayFleet): { stop: () => number; } {
    let reverts = 0;
    const highestRevisions = new Map<string, number>();
    const timer = setInterval(() => {
        void tryGetStatus(fleet).then(status => {
            for (const daemon of status?.daemons ?? []) {
                const key = `${daemon.name}#${daemon.incarnation}`;
                // A partitioned controller may return stale reports: count only recent ones.
                if (daemon.silentMs < 1_000 && daemon.revision < (highestRevisions.get(key) ?? 0)) {
                    reverts += 1;
                }
                highestRevisions.set(key, Math.max(daemon.revision, highestRevisions.get(key) ?? 0));
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
    model: FleetModel,
    reverts: number,
): Promise<ReplayReport> {
    const answered = replayed.filter(entry => entry.result.isComplete);
    const refused = replayed.filter(entry => entry.result.error !== undefined);
    const bills = await waitForBills(answered, fleet);
    const runs = await fetchRunCounts(fleet);
    const getRunCount = (entry: ReplayedRequest): number => runs.get(`${entry.line.account}/${entry.line.id}`) ?? 0;
    const hasForeignText = (entry: ReplayedRequest): boolean =>
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
        overspend_tokens: model.computeOverspentTokens(),
        false_refusals: refused.filter(entry => entry.isFalseRefusal).length,
        billed_twice: answered.filter(entry => (bills.get(getRequestId(entry)) ?? []).length > 1).length,
        not_billed: answered.filter(entry => (bills.get(getRequestId(entry)) ?? []).length === 0).length,
        ran_but_refused_not_run:
            refused.filter(entry => entry.result.error!.ran === "no" && getRunCount(entry) > 0).length,
        non_repeatable_reruns: replayed.filter(entry => !entry.line.repeatable && getRunCount(entry) > 1).length,
        cut_answers: replayed.filter(entry => !entry.result.isComplete && entry.result.error === undefined).length,
        foreign_answers: replayed.filter(hasForeignText).length,
        reverts,
        waits: computeWaitsByRank(answered),
        refusalMs: computePercentiles(refused.map(entry => entry.result.firstMs)),
    };
}

function getRequestId(entry: ReplayedRequest): string {
    return `${entry.line.account}/${entry.line.id}`;
}

/** Gets bills not withdrawn, by request id. Polls until each answered request has exactly one, or until the timeout. */
async function waitForBills(
    answered: readonly ReplayedRequest[],
    fleet: ReplayFleet,
): Promise<Map<string, BillRecord[]>> {
    const deadline = performance.now() + BILLING_TIMEOUT_MS;
    for (;;) {
        const bills = new Map<string, BillRecord[]>();
        for (const controller of fleet.controllers) {
            const target = { server: controller.server, token: fleet.operatorToken };
            const answer = await callOperatorApi(target, "GET", `/api/v1/bills?limit=${MAX_BILLS}`).catch(() => ({
                items: [],
            })) as { items: BillRecord[]; };
            for (const bill of answer.items.filter(candidate => !candidate.withdrawn)) {
                bills.set(bill.requestId, [...bills.get(bill.requestId) ?? [], bill]);
            }
        }
        if (answered.every(entry => bills.get(getRequestId(entry))?.length === 1) || performance.now() > deadline) {
            return bills;
        }
        await delay(BILLING_POLL_INTERVAL_MS);
    }
}

/** Fetches the number of executions of each request, summed over all reachable stand-ins. */
async function fetchRunCounts(fleet: ReplayFleet): Promise<Map<string, number>> {
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

function computeWaitsByRank(answered: readonly ReplayedRequest[]): Record<string, { p50: number; p99: number; }> {
    const ranks = [...new Set(answered.map(entry => entry.line.rank))].sort();
    return Object.fromEntries(
        ranks.map(rank => [
            rank,
            computePercentiles(answered.filter(entry => entry.line.rank === rank).map(entry => entry.result.firstMs)),
        ]),
    );
}

function computePercentiles(values: readonly number[]): { p50: number; p99: number; } {
    const sorted = [...values].sort((a, b) => a - b);
    const getPercentile = (fraction: number): number =>
        Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0);
    return { p50: getPercentile(0.5), p99: getPercentile(0.99) };
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
    let lastError: unknown;
    for (const controller of fleet.controllers) {
        const target: OperatorTarget = { server: controller.server, token: fleet.operatorToken };
        try {
            return await callOperatorApi(target, method, path, body);
        }
        catch (error) {
            lastError = error;
        }
    }
    throw lastError;
}

function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
