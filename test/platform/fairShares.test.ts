/**
 * While an engine is short, the part of a large account beyond its share must be less urgent there and be refused first. Without
 * the settings section nothing may change.
 */
import { setTimeout as wait } from "node:timers/promises";
import t from "tap";
import { request } from "undici";
import { DirectFleet, type EngineHandler } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

process.env["LOOMWINCH_UPSTREAM_MODEL"] = "on";
const NETWORK = 181;
const fleet = new DirectFleet(NETWORK);
/** The engine processes one prompt after the other, urgent ones first, in the time that the router presumes for the tokens. */
const PREFILL_MS = 100;
const PROMPT_TOKENS = 5_000;
/** Intervals of the requests of each account: the usual ones leave two fifths of the engine to the large one, which wants 16. */
const USUAL_INTERVAL_MS = 500;
const LARGE_INTERVAL_MS = 60;
const LOAD_MS = 8_000;
const DEADLINE_MS = 3_000;
/** Of account and route; see `computePriority`. */
const PRIORITY = 4;
const waiting: { priority: number; start: () => void; }[] = [];
let isBusy = false;

function startNext(): void {
    waiting.sort((a, b) => a.priority - b.priority);
    const next = isBusy ? undefined : waiting.shift();
    if (next === undefined) {
        return;
    }
    isBusy = true;
    setTimeout(() => {
        isBusy = false;
        next.start();
        startNext();
    }, PREFILL_MS);
}

const answerUrgentFirst: EngineHandler = (message, response) => {
    const start = () => {
        const signed = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
        response.writeHead(200, { ...signed, "Content-Type": "text/event-stream" });
        response.end("id: 1\ndata: piece\n\n");
    };
    waiting.push({ priority: Number(message.headers["request-priority"]), start });
    startNext();
};

async function callRouter(box: string, id: string, key: string) {
    const answer = await request(fleet.getCallerUrl(box, "/s/x"), {
        method: "POST",
        headers: {
            "Host": "api.example",
            "Attempt-Id": id,
            "Credential": key,
            "Deadline-Ms": String(DEADLINE_MS),
            "Token-Usage": `${PROMPT_TOKENS},10`,
            "Prefix-Hash": `${id}:${PROMPT_TOKENS}`,
        },
        body: "{}",
    });
    const text = await answer.body.text();
    return { id, status: answer.statusCode, text, retryAfter: Number(answer.headers["retry-after"]) };
}

async function callRegularly(box: string, key: string, intervalMs: number) {
    const calls: ReturnType<typeof callRouter>[] = [];
    for (const startedAt = performance.now(); performance.now() - startedAt < LOAD_MS; await wait(intervalMs)) {
        calls.push(callRouter(box, `${box}-${key}-${calls.length}`, key));
    }
    return Promise.all(calls);
}

async function playLoad(box: string) {
    await waitUntil("first answer", async () => (await callRouter(box, `${box}-first`, "key-1")).status === 200);
    const [large, ...usual] = await Promise.all([
        callRegularly(box, "key-large", LARGE_INTERVAL_MS),
        ...["key-1", "key-2", "key-3"].map(key => callRegularly(box, key, USUAL_INTERVAL_MS)),
    ]);
    const received = fleet.engineRequests.filter(({ headers }) => String(headers["attempt-id"]).startsWith(`${box}-`));
    const deferred = received
        .filter(({ headers }) => Number(headers["request-priority"]) > PRIORITY)
        .map(({ headers }) => String(headers["attempt-id"]));
    return { large, usual: usual.flat(), received, deferred };
}

void t.test("an account beyond its share while an engine is short", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1");
    await fleet.startRouter("r2", {}, "", { fairShares: undefined });
    const address = await fleet.startEngine("r11", answerUrgentFirst);
    const wire = createWireBundle(1);
    const backends = wire.backends.map(backend => ({ ...backend, max_conns: 1_000 }));
    const tenants = ["1", "2", "3", "large"].map(name => ({
        ...wire.tenants[0]!,
        name: `account-${name}`,
        api_keys: [`key-${name}`],
        prepaid: 1_000_000_000,
    }));
    await fleet.putBundle("c1", { ...wire, backends, tenants });
    const registration = { backend: "engines", address, zone: "z", slots: 64, state: "ready", config_rev: "v1" };
    await fleet.startReporting("c1", "e1", registration);

    await t.test("its excess is deferred and refused, and the usual accounts are served", async t => {
        const { large, usual, received, deferred } = await playLoad("r1");
        const refused = large.filter(({ text }) => text.includes("overShare"));
        t.equal(usual.filter(({ status }) => status !== 200).length, 0, `${usual.length} usual requests are served`);
        t.ok(deferred.length > 0 && deferred.every(id => id.startsWith("r1-key-large")), `${deferred.length} deferred`);
        t.ok(refused.length > large.length / 4, `${refused.length} of ${large.length} are refused`);
        t.ok(refused.every(({ status, retryAfter }) => status === 503 && retryAfter >= 0.1 && retryAfter <= 5));
        t.ok(new Set(refused.map(({ retryAfter }) => retryAfter)).size > refused.length / 4, "spread out");
        const sentIds = new Set(received.map(({ headers }) => String(headers["attempt-id"])));
        t.notOk(refused.some(({ id }) => sentIds.has(id)), "the refused were not sent");
        const servedCount = large.filter(({ status }) => status === 200).length;
        // Two fifths of what the engine can process in that time, with room for a busy machine.
        t.ok(servedCount > LOAD_MS / PREFILL_MS * 0.25, `${servedCount} of the large account are served`);
    });

    await t.test("a router does not start with the section but without admission", async t => {
        await t.rejects(fleet.startRouter("r3", {}, "", { admission: undefined }), {
            message: /settingsInvalid: fairShares: needs the section admission/,
        });
    });

    await t.test("without the section, nothing is deferred or refused for others", async t => {
        const { large, usual, deferred } = await playLoad("r2");
        t.same(deferred, []);
        t.notOk([...large, ...usual].some(({ text }) => text.includes("overShare")));
        t.equal(fleet.routers.get("r2")!.role.daemon.fairShares, undefined);
    });
});
