/** Guards against answering a request or its resend before the records that the answer depends on are synced. */
import t from "tap";
import type { UsageRecord } from "../../src/domain/billStore.js";
import { IntentStore } from "../../src/domain/intentStore.js";
import { Ledger, ShareSource } from "../../src/domain/ledger.js";
import { FakeJournal } from "../tools/fakes.js";

class FixedShareSource extends ShareSource {
    override getAllotted(): number {
        return 1_000;
    }
    override hasTopUp(): boolean {
        return false;
    }
}

const usage: UsageRecord = {
    requestId: "a/1",
    runId: "a/1#1",
    account: "a",
    service: "s",
    budget: "b",
    grant: "l#0/r/g",
    promptTokens: 5,
    outputTokens: 5,
    uncertain: false,
    at: 0,
};

/** Whether a promise resolves without a further journal sync. */
async function isResolvedWithoutSync(promise: Promise<unknown>): Promise<boolean> {
    let answered = false;
    void promise.then(() => answered = true);
    await new Promise(resolve => setImmediate(resolve));
    return answered;
}

void t.test("resent draws, usage records, returns and top-ups wait until the original is synced", async t => {
    const journal = new FakeJournal(false);
    const ledger = new Ledger("l#0", journal, new FixedShareSource());
    const topUp = {
        operationId: "o",
        operator: "x",
        budget: "b",
        tokens: 5,
        copies: "majority" as const,
        spendable: false,
    };
    const calls: (() => Promise<unknown>)[] = [
        () => ledger.draw("l#0/r/g", "r", "b", 1, 10, 100),
        () => ledger.recordUsage(usage),
        () => ledger.returnGrant("l#0/r/g", 20),
        () => ledger.storeTopUp(topUp),
    ];
    for (const call of calls) {
        const first = call();
        const resent = call();
        t.notOk(await isResolvedWithoutSync(first));
        t.notOk(await isResolvedWithoutSync(resent));
        journal.sync();
        t.ok(await isResolvedWithoutSync(first));
        t.ok(await isResolvedWithoutSync(resent));
    }
});

void t.test("a resent intent waits until the original is synced", async t => {
    const journal = new FakeJournal(false);
    const intents = new IntentStore(journal);
    void intents.storeIntent("a/1", { digest: "d", owner: "r1" });
    const resent = intents.storeIntent("a/1", { digest: "d", owner: "r1" });
    t.notOk(await isResolvedWithoutSync(resent));
    journal.sync();
    t.ok(await isResolvedWithoutSync(resent));
});
