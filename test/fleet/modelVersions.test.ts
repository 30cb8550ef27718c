/** Engines of one service that load different model versions: an answer must not go on at another version than began it. */
import t from "tap";
import { request } from "undici";
import { askChat, getExpectedAnswer, getRunCounts } from "../tools/caller.js";
import { Fleet } from "../tools/fleet.js";

const CONTENT = "a long briefing, please out=60";
const ANSWERS = 6;
const fleet = new Fleet({
    zones: ["wien", "linz", "graz"],
    services: [{ name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { tokenMs: 5 } }],
});
let key = "";
t.before(async () => {
    await fleet.start();
    key = await fleet.createAccount("member", 1_000_000);
});
t.teardown(() => fleet.stop());

/** Makes each engine break off its next answer after some tokens. */
async function breakNextAnswers(): Promise<void> {
    for (const engine of fleet.getStandIns("wetterwort")) {
        await request(`${engine.getUrl()}/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ dropAfterTokens: 7, count: 1 }),
        });
    }
}

async function setModels(models: readonly string[]): Promise<void> {
    const zones = ["wien", "linz", "graz"];
    for (const [i, model] of models.entries()) {
        const name = `wetterwort-${zones[i]}-1`;
        await fleet.put("upstream", name, { ...fleet.getUpstreamSpec(name), model });
    }
    await fleet.waitInForce();
}

void t.test("an answer that breaks off does not go on at an engine with another model version", async t => {
    await setModels(["storm-1", "storm-2", "storm-3"]);
    for (let i = 0; i < ANSWERS; i++) {
        await breakNextAnswers();
        const id = `versions-${i}`;
        const { text } = await askChat(fleet.getRouters()[0]!, key, { content: CONTENT, idempotencyKey: id });
        const runs = await Promise.all(
            fleet.getStandIns("wetterwort").map(async engine => (await getRunCounts([engine])).has(`member/${id}`)),
        );
        t.ok(getExpectedAnswer(CONTENT).startsWith(text));
        t.equal(runs.filter(Boolean).length, 1, "engines that ran it");
    }
});

void t.test("an answer that breaks off goes on at an engine with the same model version", async t => {
    await setModels(["storm-1", "storm-1", "storm-1"]);
    await breakNextAnswers();
    const { text, isComplete } = await askChat(fleet.getRouters()[0]!, key, { content: CONTENT });
    t.equal(text, getExpectedAnswer(CONTENT));
    t.ok(isComplete);
});
