/**
 * The controller that leads is killed and comes back at once, while the operator sends its last acknowledged configuration again.
 * Checks that it is not refused.
 */
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, Fleet, GrowingPause, Recorder, runCase, wait, waitUntil } from "../stand-ins-2/fleet.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const IS_TROUBLE = process.env.TROUBLE !== "0";
/** The configuration has grown by 350 routes (`big_config` on srp-lima). */
const ROUTES = 355;
/** "A day may run long and contain hundreds of changes." */
const CHANGES = 150;
const ROUNDS = 34;
const LAST_ROUND_BEGINS_MS = 92_000;
/** Eight orders may be in progress at once. */
const ORDERS = 8;
const BETWEEN_ORDERS_MS = 20;
const RESENDING_MS = 1_500;
const RESTART_DELAY_MS = 20;
/** Two kills are 2.5 s apart at least, so that no more than two machines are lost at once, with `catch_up_s` 4. */
const CALM_MS = 1_000;
const JOIN_MS = 4_000;

const record = new Recorder(join(HERE, "record.txt"));
const fleet = new Fleet({ controllers: 5, routers: 0, losses: 2 });

function createConfig(revision) {
    const routes = Array.from({ length: ROUTES }, (_, i) => ({
        name: `r-${i}`,
        host: "ficu95.example",
        path_prefix: `/pufi${i}/`,
        type: "safe",
        timeout_ms: 1_500 + revision,
        goal_ms: 386,
        prio: 1,
        backend: "recargas-app",
        attempts: 2,
        public: true,
        sticky: false,
        resumable: false,
        itl_target_ms: 0,
    }));
    return {
        config_rev: revision,
        routes,
        backends: [{ name: "recargas-app", health_path: "/healthz", max_conns: 110, protocol: "h1", tls: false }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    };
}

async function putConfig(name, body) {
    const headers = { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) };
    return call(`${fleet.getControlUrl(name)}/loomwinch/config`, { method: "PUT", headers, body });
}

/** Returns the controller that leads, by the newest such line of the logs. */
function findLeader() {
    let leader;
    let newestTerm = -1;
    for (const name of fleet.controllers) {
        const log = readFileSync(join(fleet.folder, `${name}.log`), "utf8");
        for (const line of log.split("\n").filter(line => line.includes("leader_elected"))) {
            const term = Number(/term"?[=:](\d+)/.exec(line)?.[1] ?? 0);
            if (term > newestTerm) {
                newestTerm = term;
                leader = name;
            }
        }
    }
    return leader;
}

async function acknowledge(revision) {
    const body = JSON.stringify(createConfig(revision));
    await waitUntil(`revision ${revision}`, async () => {
        for (const name of fleet.controllers) {
            if ((await putConfig(name, body)).status === 200) {
                return true;
            }
        }
        return false;
    });
    return body;
}

/** Sends the order once more, to one controller after the other until one answers it; returns a refusal if there is one. */
async function sendAgain(names, first, revision, body, until, statuses) {
    const pause = new GrowingPause();
    for (let i = first; performance.now() < until; i++) {
        const name = names[i % names.length];
        const { status, text } = await putConfig(name, body);
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
        if (status === 200) {
            return undefined;
        }
        if (status >= 400 && status < 500 && status !== 408 && status !== 429) {
            return `${name} answers revision ${revision} with ${status} ${text}`;
        }
        await pause.wait();
    }
    return undefined;
}

/** Sends the order again to the controllers that run on, eight times at once, until `until`; returns the refusals. */
async function resend(names, revision, body, until) {
    const statuses = new Map();
    const refusals = [];
    const sendOrders = async index => {
        for (let order = index; performance.now() < until; order++) {
            const refusal = await sendAgain(names, order, revision, body, until, statuses);
            if (refusal !== undefined) {
                refusals.push(refusal);
            }
            await wait(BETWEEN_ORDERS_MS);
        }
    };
    await Promise.all(Array.from({ length: ORDERS }, (_, i) => sendOrders(i)));
    const counts = [...statuses].map(([status, count]) => `${status === 0 ? "no answer" : status}: ${count}`).join(
        ", ",
    );
    record.write(`operator: revision ${revision} sent again: ${counts}`);
    return refusals;
}

async function main() {
    await fleet.start(createConfig(1));
    // The two controllers that are no seeds join.
    await wait(JOIN_MS);
    let revision = 1;
    let body = "";
    for (let i = 0; i < CHANGES; i++) {
        revision += 1;
        body = await acknowledge(revision);
    }
    record.write(`operator: revision ${revision} is acknowledged, with ${ROUTES} routes`);
    let refusedRounds = 0;
    let rounds = 0;
    while (rounds < ROUNDS && refusedRounds === 0 && performance.now() - record.startedAt < LAST_ROUND_BEGINS_MS) {
        rounds += 1;
        const leader = findLeader();
        const others = fleet.controllers.filter(name => name !== leader);
        if (IS_TROUBLE) {
            record.write(`round ${rounds}: SIGKILL to ${leader}, which leads`);
            fleet.signal(leader, "SIGKILL");
            await waitUntil("the kill", () => !fleet.isRunning(leader));
            await wait(RESTART_DELAY_MS);
            fleet.startProcess(leader);
        }
        const refusals = await resend(others, revision, body, performance.now() + RESENDING_MS);
        refusals.slice(0, 3).forEach(refusal => record.write(`CONFIG: ${refusal}`));
        refusedRounds += refusals.length > 0 ? 1 : 0;
        await wait(CALM_MS);
        revision += 1;
        body = await acknowledge(revision);
    }
    record.write(`an acknowledged configuration was refused in ${refusedRounds} of ${rounds} rounds`);
    return refusedRounds > 0;
}

await runCase(record, fleet, main);
