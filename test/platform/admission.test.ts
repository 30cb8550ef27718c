/**
 * Requests that an upstream cannot serve in time must be refused at once as not run, with a time until a retry, and never reach
 * the upstream. Without admission, they wait until their deadline.
 */
import t from "tap";
import { request } from "undici";
import { DirectFleet, type EngineHandler } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

process.env["LOOMWINCH_UPSTREAM_MODEL"] = "on";
const NETWORK = 82;
const fleet = new DirectFleet(NETWORK);
/** The engine processes one prompt after the other, each in the time that the router presumes for its tokens. */
const PREFILL_MS = 100;
const PROMPT_TOKENS = 5_000;
/** Between two events, each of 5 tokens. */
const EVENT_MS = 20;
const DEADLINE_MS = 1_500;
const GOAL_MS = 800;
const BURST = 40;
let prefillEndsAt = 0;

const answerInTurn: EngineHandler = (message, response) => {
    prefillEndsAt = Math.max(performance.now(), prefillEndsAt) + PREFILL_MS;
    setTimeout(() => {
        const signed = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
        response.writeHead(200, { ...signed, "Content-Type": "text/event-stream" });
        response.write("id: 1\ndata: piece\n\n");
        setTimeout(() => response.end("id: 2\ndata: piece\n\n"), EVENT_MS);
    }, prefillEndsAt - performance.now());
};

async function callRouter(id: string) {
    const startedAt = performance.now();
    const answer = await request(fleet.getCallerUrl("r1", "/s/x"), {
        method: "POST",
        headers: {
            "Host": "api.example",
            "Attempt-Id": id,
            "Credential": "key-1",
            "Deadline-Ms": String(DEADLINE_MS),
            "Token-Usage": `${PROMPT_TOKENS},10`,
            "Prefix-Hash": `${id}:${PROMPT_TOKENS}`,
        },
        body: "{}",
    });
    const text = await answer.body.text();
    const tookMs = performance.now() - startedAt;
    return { status: answer.statusCode, text, tookMs, retryAfter: Number(answer.headers["retry-after"]) };
}

function callTogether(name: string, count: number) {
    return Promise.all(Array.from({ length: count }, (_, i) => callRouter(`${name}-${i}`)));
}

void t.test("requests that cannot be served in time", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1");
    const address = await fleet.startEngine("r11", answerInTurn);
    const wire = createWireBundle(1);
    const backends = wire.backends.map(backend => ({ ...backend, max_conns: 1_000 }));
    const tenants = wire.tenants.map(tenant => ({ ...tenant, prepaid: 1_000_000_000 }));
    await fleet.putBundle("c1", { ...wire, backends, tenants });
    const registration = { backend: "engines", address, zone: "z", slots: 64, state: "ready", config_rev: "v1" };
    await fleet.startReporting("c1", "e1", registration);
    await waitUntil("first answer", async () => (await callRouter("first")).status === 200);
    // Waits of several prompts confirm the estimates.
    for (let i = 0; i < 4; i++) {
        await callTogether(`confirm-${i}`, 5);
    }
    const sentBefore = fleet.engineRequests.length;
    const answers = await callTogether("burst", BURST);
    const refused = answers.filter(({ status }) => status === 503);
    const served = answers.filter(({ status }) => status === 200);
    const sent = fleet.engineRequests.length - sentBefore;
    const summary = answers.map(({ status, tookMs }) => `${status}@${Math.round(tookMs)}`).join(" ");

    t.equal(sent, BURST - refused.length, `the refused were not sent: ${summary}`);
    t.ok(refused.length >= BURST / 2, "15 prompts can be processed in time");
    t.ok(refused.every(({ text }) => text.includes("noTimeLeft")), refused[0]?.text ?? "");
    const slowest = Math.max(...refused.map(({ tookMs }) => tookMs));
    t.ok(slowest < GOAL_MS / 4, `refused within ${Math.round(slowest)} ms, a quarter of the goal`);
    const waits = refused.map(({ retryAfter }) => retryAfter);
    t.ok(waits.every(seconds => seconds >= 0.1 && seconds <= 5), waits.join(" "));
    t.ok(new Set(waits).size > refused.length / 4, "spread out");
    const { load, registry } = fleet.routers.get("r1")!.role.daemon;
    const { decodeSpeed, running } = load.tryGetState(registry.tryGet("e1")!)!;
    t.ok(Math.abs(decodeSpeed.msPerToken! - EVENT_MS / 5) < 2, `${decodeSpeed.msPerToken} ms per token were learned`);
    t.equal(running.getTokens(performance.now()), 0, "no request is left in the model");
    t.ok(served.length >= sent * 0.8, `${served.length} of ${sent} were served by their deadline`);
});
