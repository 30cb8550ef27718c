/** One request, one answer, one bill: through the death of routers, sidecars and engines, and through resends. */
import t from "tap";
import { request } from "undici";
import { askChat, callPlain, getExpectedAnswer, getExpectedBill, getRunCounts } from "../tools/caller.js";
import { Fleet, type FleetProcess } from "../tools/fleet.js";
import { waitUntil } from "../tools/waiting.js";

const fleet = new Fleet({
    zones: ["wien", "linz", "graz"],
    services: [
        { name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { tokenMs: 20 } },
        {
            name: "topups",
            type: "plain",
            upstreamsPerZone: 1,
            spec: { tokensPerCall: 2, repeatable: false },
            standIn: { answerMs: 300 },
        },
    ],
});
let key = "";
t.before(async () => {
    await fleet.start();
    key = await fleet.createAccount("member", 1_000_000);
});
t.teardown(() => fleet.stop());

const CONTENT = "a long briefing, please out=60";

async function getSpent(): Promise<number> {
    return (await fleet.getStatus()).budgets["member-budget"]!.spent;
}

/** Resolves with the first result once part of an answer has come. */
async function startAndWait(
    router: Parameters<typeof askChat>[0],
    idempotencyKey: string,
): Promise<{ result: ReturnType<typeof askChat>; }> {
    let text = "";
    const result = askChat(router, key, { content: CONTENT, idempotencyKey, onText: so => text = so });
    await waitUntil("part of the answer", () => text.length > 30);
    return { result };
}

void t.test("a router dies with open streams; the retry elsewhere gets the whole answer, run and billed once", async t => {
    const [first, second] = fleet.getRouters();
    const spent = await getSpent();
    const { result } = await startAndWait(first!, "router-dies");
    await first!.kill();
    t.notOk((await result).isComplete);
    const retried = await askChat(second!, key, { content: CONTENT, idempotencyKey: "router-dies" });
    t.equal(retried.text, getExpectedAnswer(CONTENT));
    t.ok(retried.isComplete);
    const runs = await getRunCounts(fleet.getStandIns("wetterwort"));
    t.equal(runs.get("member/router-dies"), 1);
    await waitUntil("the bill", async () => await getSpent() === spent + getExpectedBill(CONTENT));
    await first!.start();
    await fleet.waitInForce();
});

void t.test("the same key from two routers at once runs once, and both get the whole answer", async t => {
    const spent = await getSpent();
    const results = await Promise.all(
        fleet.getRouters().map(router => askChat(router, key, { content: CONTENT, idempotencyKey: "at-once" })),
    );
    for (const result of results) {
        t.equal(result.text, getExpectedAnswer(CONTENT));
    }
    t.equal((await getRunCounts(fleet.getStandIns("wetterwort"))).get("member/at-once"), 1);
    await waitUntil("the bill", async () => await getSpent() === spent + getExpectedBill(CONTENT));
});

void t.test("a key that was used with another body is refused", async t => {
    await askChat(fleet.getRouters()[0]!, key, { content: "one out=3", idempotencyKey: "reused" });
    const other = await askChat(fleet.getRouters()[1]!, key, { content: "two out=3", idempotencyKey: "reused" });
    t.match(other.error, { type: "requestIdReused", code: "LW1401" });
});

void t.test("an engine breaks off; another goes on from what the caller has", async t => {
    for (const engine of fleet.getStandIns("wetterwort")) {
        await request(`${engine.getUrl()}/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ dropAfterTokens: 7, count: 1 }),
        });
    }
    const spent = await getSpent();
    const result = await askChat(fleet.getRouters()[0]!, key, { content: CONTENT });
    t.equal(result.text, getExpectedAnswer(CONTENT));
    t.equal(result.usage?.completion_tokens, 60);
    await waitUntil("the bill", async () => await getSpent() === spent + getExpectedBill(CONTENT));
    for (const engine of fleet.getStandIns("wetterwort")) {
        await request(`${engine.getUrl()}/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ count: 0 }),
        });
    }
});

void t.test("a sidecar is killed in the middle; the answer goes on elsewhere, whole", async t => {
    const { result } = await startAndWait(fleet.getRouters()[1]!, "sidecar-dies");
    const counts = await Promise.all(
        fleet.getStandIns("wetterwort").map(async engine => ({ engine, runs: await getRunCounts([engine]) })),
    );
    const running = counts.find(count => count.runs.get("member/sidecar-dies") === 1)!.engine;
    await fleet.get(`sidecar-${running.name}`).kill();
    const answer = await result;
    t.equal(answer.text, getExpectedAnswer(CONTENT));
    t.ok(answer.isComplete);
    await fleet.get(`sidecar-${running.name}`).start();
    await fleet.waitInForce();
});

void t.test("a call that may not be repeated runs once, however often and wherever it is sent", async t => {
    const results = await Promise.all(
        [0, 1, 2, 0, 1, 2].map(i =>
            callPlain(fleet.getRouters()[i]!, key, "/services/topups/credit", { "idempotency-key": "credit-1" })
        ),
    );
    const answered = results.filter(result => result.status === 200);
    t.ok(answered.length >= 1);
    t.ok(
        results.every(result => result.status === 200 || (result.body["error"] as { ran: string; }).ran !== "no"),
        "nobody is told that it did not run",
    );
    t.equal((await getRunCounts(fleet.getStandIns("topups"))).get("member/credit-1"), 1);
});

void t.test("a router dies after a call that may not be repeated; the resend does not run it again", async t => {
    const [, second, third] = fleet.getRouters();
    const lost = callPlain(third!, key, "/services/topups/credit", { "idempotency-key": "credit-2" }).catch(() =>
        undefined
    );
    await waitUntil(
        "the run",
        async () => (await getRunCounts(fleet.getStandIns("topups"))).get("member/credit-2") === 1,
    );
    await third!.kill();
    await lost;
    const resent = await callPlain(second!, key, "/services/topups/credit", { "idempotency-key": "credit-2" });
    t.ok(resent.status === 200 || (resent.body["error"] as { ran: string; }).ran !== "no");
    t.equal((await getRunCounts(fleet.getStandIns("topups"))).get("member/credit-2"), 1);
    await third!.start();
});

/** Longer than one attempt to store an intent, and longer than all of them. */
const STALLS_MS = [1_700, 6_000];
const CALLS_IN_STALL = 3;

// Guards against a request that is never run and whose callers never learn so: an intent that its router gave up on.
for (const stallMs of STALLS_MS) {
    void t.test(`calls that may not be repeated run once although controllers are frozen for ${stallMs} ms`, async t => {
        const [first, second] = fleet.getRouters();
        const keys = Array.from({ length: CALLS_IN_STALL }, (_, i) => `stalled-${stallMs}-${i}`);
        const call = (router: FleetProcess, name: string) =>
            callPlain(router, key, "/services/topups/credit", { "idempotency-key": name });
        const controllers = fleet.getControllers();
        controllers.forEach(controller => controller.freeze());
        setTimeout(() => controllers.forEach(controller => controller.thaw()), stallMs);
        await Promise.all(keys.map(name => call(first!, name)));
        await waitUntil("a connected controller", async () => (await fleet.getStatus()).connected);
        for (const name of keys) {
            await waitUntil(`the answer to ${name}`, async () => (await call(second!, name)).status === 200);
        }
        const runs = await getRunCounts(fleet.getStandIns("topups"));
        t.same(keys.map(name => runs.get(`member/${name}`)), keys.map(() => 1));
    });
}
