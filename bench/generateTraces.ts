/**
 * Makes the traces under bench/traces, always the same ones. Times are compressed: one millisecond of a trace is 90 of
 * the day it stands for, so that a split of 30 minutes takes 20 seconds. Bursty arrivals, a few large accounts.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { TraceLine, TraceRequest } from "../src/replay/trace.js";
import { type Deployment, deployments } from "./deployments.js";

const SEED = 20_261_202;
const LENGTH_MS = 24_000;
const SPLIT_FROM_MS = 3_000;
const SPLIT_TO_MS = 23_000;
/** Part of the requests that ask for a long answer. */
const LONG_PART = 0.3;

/** Tells how a trace differs from an ordinary day. */
interface Plan {
    readonly name: string;
    /** Requests a second, in the trace's time. */
    readonly rate: number;
    readonly split: boolean;
    readonly restarts: boolean;
    readonly kills: boolean;
}

const plans: readonly Plan[] = [
    { name: "ordinary", rate: 40, split: false, restarts: false, kills: false },
    { name: "split", rate: 40, split: true, restarts: false, kills: false },
    { name: "restart", rate: 25, split: false, restarts: true, kills: false },
    { name: "everything", rate: 30, split: true, restarts: false, kills: true },
];

class Random {
    private readonly generator: RandomGenerator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** A number in [0, 1). */
    next(): number {
        return (this.generator.next() >>> 0) / 2 ** 32;
    }

    between(least: number, most: number): number {
        return least + Math.floor(this.next() * (most - least + 1));
    }
}

function createRequests(deployment: Deployment, plan: Plan, random: Random): TraceRequest[] {
    const requests: TraceRequest[] = [];
    let at = 500;
    let burst = 1;
    while (at < LENGTH_MS) {
        // Calm and bursts by turns: a burst is three times as fast as the calm.
        burst = random.next() < 0.02 ? 4 - burst : burst;
        at += -Math.log(1 - random.next()) * 1_000 / (plan.rate * (burst === 3 ? 1.8 : 0.6));
        requests.push(createRequest(deployment, random, Math.round(at), requests.length));
    }
    return requests;
}

function createRequest(deployment: Deployment, random: Random, at: number, position: number): TraceRequest {
    const isLong = random.next() < LONG_PART;
    // Skewed: the first account asks for about a third of everything.
    const account = deployment.accounts[Math.floor(deployment.accounts.length * random.next() ** 2.2)]!;
    const zones = deployment.fleet.zones;
    const outputTokens = isLong ? random.between(40, 120) : random.between(4, 20);
    return {
        at,
        type: "request",
        id: `q${position}`,
        account,
        service: deployment.service,
        zone: zones[Math.floor(zones.length * random.next() ** 1.4)]!,
        promptChars: Math.round(40 + 400 * random.next() ** 3),
        outputTokens,
        maxTokens: outputTokens + random.between(0, 16),
        deadlineMs: isLong ? 20_000 : 5_000,
        repeatable: random.next() > 0.05,
        rank: isLong ? "long" : "short",
    };
}

/** Top-ups through the day, on both sides of a split. Homes go round the controllers. */
function createTopUps(deployment: Deployment, random: Random): TraceLine[] {
    const lines: TraceLine[] = [];
    const { zones } = deployment.fleet;
    for (const [i, account] of deployment.accounts.entries()) {
        for (let at = 4_000 + i * 300; at < LENGTH_MS - 4_000; at += 5_000) {
            const zone = zones[random.between(0, zones.length - 1)]!;
            const tokens = i < 2 ? 4_000 : 1_200;
            lines.push({
                at,
                type: "topUp",
                operationId: `t-${account}-${at}`,
                budget: `${account}-budget`,
                tokens,
                home: `controller-${zone}`,
            });
        }
    }
    return lines;
}

function createFaults(deployment: Deployment, plan: Plan): TraceLine[] {
    const faults: TraceLine[] = [];
    const { zones } = deployment.fleet;
    const add = (
        at: number,
        action: "kill" | "start" | "stop" | "freeze" | "thaw" | "cutOff" | "heal",
        target: string,
    ): void => {
        faults.push({ at, type: "fault", action, target });
    };
    if (plan.split) {
        add(SPLIT_FROM_MS, "cutOff", deployment.cutOffZone);
        add(SPLIT_TO_MS, "heal", deployment.cutOffZone);
    }
    if (plan.restarts) {
        const targets = zones.flatMap(
            zone => [`router-${zone}-1`, `sidecar-${deployment.service}-${zone}-1`, `controller-${zone}`],
        );
        targets.forEach((target, i) => {
            add(2_000 + i * 1_700, "stop", target);
            add(3_400 + i * 1_700, "start", target);
        });
    }
    if (plan.kills) {
        add(6_000, "kill", `controller-${zones[0]}`);
        add(9_000, "start", `controller-${zones[0]}`);
        add(8_000, "kill", `sidecar-${deployment.service}-${zones[1]}-1`);
        add(11_000, "start", `sidecar-${deployment.service}-${zones[1]}-1`);
        add(13_000, "freeze", `controller-${zones[1]}`);
        add(17_000, "thaw", `controller-${zones[1]}`);
        add(18_000, "kill", `router-${zones[0]}-1`);
        add(20_000, "start", `router-${zones[0]}-1`);
    }
    return faults;
}

const folder = join(process.cwd(), "bench", "traces");
mkdirSync(folder, { recursive: true });
for (const [d, deployment] of deployments.entries()) {
    for (const [p, plan] of plans.entries()) {
        const random = new Random(SEED + d * 100 + p);
        const lines = [
            ...createRequests(deployment, plan, random),
            ...createTopUps(deployment, random),
            ...createFaults(deployment, plan),
        ];
        lines.sort((a, b) => a.at - b.at);
        writeFileSync(
            join(folder, `${deployment.name}-${plan.name}.jsonl`),
            `${lines.map(line => JSON.stringify(line)).join("\n")}\n`,
        );
    }
}
