/** Starts the processes of a deployment, replays a trace at them with its faults, and stops them. */
import { join } from "node:path";
import { countPromptTokens } from "../src/daemons/standIn/standInAnswers.js";
import { createTraceMessages, type ReplayFleet, type ReplayReport, replayTrace } from "../src/replay/replayTrace.js";
import { readTrace, type TraceFault, type TraceLine, type TraceRequest } from "../src/replay/trace.js";
import { Fleet, TEST_OPERATOR_TOKEN } from "../test/tools/fleet.js";
import { waitUntil } from "../test/tools/waiting.js";
import { type Deployment, deployments, rankRules } from "./deployments.js";

/** What each account's budget holds at the beginning, the large accounts first. Tokens. */
export function getOpeningTokens(position: number): number {
    return position < 2 ? 8_000 : 2_500;
}

/** What a trace's request is billed when it is answered. Tokens. */
export function getTraceBill(line: TraceRequest): number {
    return countPromptTokens(createTraceMessages(line)) + Math.min(line.outputTokens, line.maxTokens);
}

/** How a replay differs from the deployment as it is. */
export interface TraceRunOptions {
    readonly policy: "equalSplit" | "followDemand";
    readonly controller?: Record<string, unknown>;
    readonly router?: Record<string, unknown>;
    /** Multiplies every amount of tokens, so that budgets do not bind. */
    readonly plenty?: boolean;
}

export function getDeployment(name: string): Deployment {
    const found = deployments.find(deployment => name.startsWith(deployment.name));
    if (found === undefined) {
        throw new Error(
            `no deployment for ${name}; there are ${deployments.map(deployment => deployment.name).join(", ")}`,
        );
    }
    return found;
}

export async function loadTrace(name: string): Promise<TraceLine[]> {
    const trace = await readTrace(join(process.cwd(), "bench", "traces", `${name}.jsonl`));
    if (trace.isErr()) {
        throw new Error(trace.error.detail);
    }
    return trace.value;
}

/** Runs one trace against fresh processes. */
export async function runTrace(name: string, options: TraceRunOptions): Promise<ReplayReport> {
    const deployment = getDeployment(name);
    const lines = await loadTrace(name);
    const fleet = new Fleet({
        ...deployment.fleet,
        controller: options.controller ?? {},
        router: options.router ?? {},
    });
    try {
        await fleet.start();
        const replay = await declareAccounts(fleet, deployment, options);
        return await replayTrace(lines, replay, fault => injectFault(fleet, fault));
    }
    finally {
        await fleet.stop();
    }
}

async function declareAccounts(fleet: Fleet, deployment: Deployment, options: TraceRunOptions): Promise<ReplayFleet> {
    for (const rule of rankRules) {
        await fleet.put("rankRule", rule.name, { ...rule.spec, service: deployment.service });
    }
    const keys: Record<string, string> = {};
    const budgets: Record<string, string> = {};
    for (const [i, account] of deployment.accounts.entries()) {
        const tokens = getOpeningTokens(i) * (options.plenty === true ? 1_000 : 1);
        keys[account] = await fleet.createAccount(account, tokens, {
            policy: options.policy,
            topUpCopies: "zoneWitness",
        });
        budgets[account] = `${account}-budget`;
    }
    await waitUntil("shares at every ledger", async () => {
        const status = await fleet.getStatus();
        return deployment.accounts.every(account =>
            Object.values(status.budgets[`${account}-budget`]?.shares ?? {}).filter(free => free > 0).length
                === deployment.fleet.zones.length
        );
    });
    return {
        routers: fleet.getRouters().map(router => ({ zone: router.zone, url: router.getUrl() })),
        controllers: fleet.getControllers().map(controller => ({ name: controller.name, server: controller.getUrl() })),
        operatorToken: TEST_OPERATOR_TOKEN,
        keys,
        budgets,
        standIns: Object.fromEntries(
            deployment.fleet.services.map(service => [
                service.name,
                fleet.getStandIns(service.name).map(standIn => standIn.getUrl()),
            ]),
        ),
        slots: { [deployment.service]: deployment.slots },
        timeFactor: 1,
    };
}

async function injectFault(fleet: Fleet, fault: TraceFault): Promise<void> {
    switch (fault.action) {
        case "cutOff":
            return fleet.cutOff([fault.target]);
        case "heal":
            return fleet.heal([fault.target]);
        case "kill":
            return fleet.get(fault.target).kill();
        case "stop":
            await fleet.get(fault.target).stop();
            return;
        case "start":
            return fleet.get(fault.target).start();
        case "freeze":
            return fleet.get(fault.target).freeze();
        case "thaw":
            return fleet.get(fault.target).thaw();
    }
}
