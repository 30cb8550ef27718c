/** The whole path in separate processes, spoken to by an unmodified client library of the protocol. */
import OpenAI from "openai";
import t from "tap";
import { askChat, callPlain, createMessages, getExpectedAnswer, getExpectedBill } from "../tools/caller.js";
import { Fleet } from "../tools/fleet.js";
import { waitUntil } from "../tools/waiting.js";

const fleet = new Fleet({
    zones: ["wien", "linz", "graz"],
    services: [
        { name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { tokenMs: 2 } },
        { name: "kachelamt", type: "plain", upstreamsPerZone: 1, spec: { tokensPerCall: 3 } },
    ],
});
let key = "";
t.before(async () => {
    await fleet.start();
    key = await fleet.createAccount("vorka", 100_000);
});
t.teardown(() => fleet.stop());

void t.test("a client library streams an answer and sees its usage", async t => {
    const client = new OpenAI({ apiKey: key, baseURL: `${fleet.getRouters()[0]!.getUrl()}/v1`, maxRetries: 0 });
    const stream = await client.chat.completions.create({
        model: "wetterwort",
        messages: createMessages() as never,
        max_tokens: 64,
        stream: true,
        stream_options: { include_usage: true },
    });
    let text = "";
    let total: number | undefined;
    for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? "";
        total = chunk.usage?.total_tokens ?? total;
    }
    t.equal(text, getExpectedAnswer());
    t.equal(total, getExpectedBill());
});

void t.test("a client library gets one body, and an error it understands", async t => {
    const client = new OpenAI({ apiKey: key, baseURL: `${fleet.getRouters()[1]!.getUrl()}/v1`, maxRetries: 0 });
    const answer = await client.chat.completions.create({
        model: "wetterwort",
        messages: createMessages() as never,
        max_tokens: 5,
    });
    t.equal(answer.choices[0]?.message.content, getExpectedAnswer(undefined, 5));
    t.equal(answer.choices[0]?.finish_reason, "length");
    await t.rejects(client.chat.completions.create({ model: "nothing", messages: createMessages() as never }), {
        status: 404,
        code: "LW1104",
    });
});

void t.test("a plain service is called through any router, and everything is billed once", async t => {
    const call = await callPlain(fleet.getRouters()[2]!, key, "/services/kachelamt/tiles/12/7");
    t.equal(call.status, 200);
    t.match(call.body, { service: /^kachelamt-/, path: "/tiles/12/7" });
    const before = await askChat(fleet.getRouters()[0]!, key);
    t.ok(before.isComplete);
    const expected = getExpectedBill() * 2 + getExpectedBill(undefined, 5) + 3;
    await waitUntil("the bills", async () => (await fleet.getStatus()).budgets["vorka-budget"]?.spent === expected);
    const budget = (await fleet.getStatus()).budgets["vorka-budget"]!;
    t.equal(budget.spent, expected);
    t.ok(budget.conserved);
});
