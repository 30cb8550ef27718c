/** A long split with draws and top-ups on both sides: nothing past the budget, nothing credited twice. */
import t from "tap";
import { getRefusal } from "../../src/domain/resultCodes.js";
import { askChat, type ChatResult, getExpectedBill } from "../tools/caller.js";
import { Fleet, type FleetProcess } from "../tools/fleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const ZONES = ["miraflores", "surco", "callao", "ate"];
const CUT_OFF = ["ate"];
const TOP_UP = 4_000;
const RETRY_PAUSE_MS = 250;
/** What a side may leave unspent: less than one request's bound. */
const LEFT_OVER = 170;

const fleet = new Fleet({
    zones: ZONES,
    services: [{ name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { tokenMs: 0.2 } }],
});
let key = "";
t.before(async () => {
    await fleet.start();
    key = await fleet.createAccount("bodega", TOP_UP, { topUpCopies: "zoneWitness" });
});
t.teardown(() => fleet.stop());

/** Asks until the budget is refused several times in a row; answers every result. */
async function spendAll(router: FleetProcess): Promise<ChatResult[]> {
    const results: ChatResult[] = [];
    let refusals = 0;
    while (refusals < 4) {
        const batch = await Promise.all(Array.from({ length: 6 }, () => askChat(router, key)));
        results.push(...batch);
        refusals = batch.some(result => result.isComplete) ? 0 : refusals + 1;
        if (refusals > 0) {
            // A caller that is refused is told to come back later; this one comes sooner than that.
            await wait(RETRY_PAUSE_MS);
        }
    }
    return results;
}

function sumBills(results: readonly ChatResult[]): number {
    return results.filter(result => result.isComplete).length * getExpectedBill();
}

async function getRefusalCode(attempt: Promise<unknown>): Promise<{ code: string; ran: string; }> {
    try {
        await attempt;
        return { code: "accepted", ran: "yes" };
    }
    catch (error) {
        const { code, ran } = getRefusal(error);
        return { code, ran };
    }
}

void t.test("both sides of a split spend and top up; resends are recognised", async t => {
    const ate = fleet.getOfZone("router", "ate");
    const surco = fleet.getOfZone("router", "surco");
    const ateController = fleet.get("controller-ate");
    const surcoController = fleet.get("controller-surco");
    await waitUntil(
        "a share in the zone that will be cut off",
        async () => ((await fleet.getStatus()).budgets["bodega-budget"]?.shares["controller-ate"] ?? 0) > 500,
    );
    fleet.cutOff(CUT_OFF);
    await waitUntil("the split to be noticed", async () => !(await fleet.getStatus(ateController)).connected);

    const [cutOffBefore, othersBefore] = await Promise.all([spendAll(ate), spendAll(surco)]);
    t.ok(sumBills(cutOffBefore) > 0, "the zone that is cut off serves from its share");
    t.ok(sumBills(othersBefore) > 0);
    const before = sumBills(cutOffBefore) + sumBills(othersBefore);
    t.ok(before <= TOP_UP, "together never past the budget");
    t.ok(before > TOP_UP - 2 * LEFT_OVER, `and close to it: ${before} of ${TOP_UP}`);
    const refused = [...cutOffBefore, ...othersBefore].filter(result => !result.isComplete);
    const unexpected = refused.filter(result =>
        !/^budget(Exhausted|Unreachable)$/.test(result.error?.type ?? "") || result.error?.ran !== "no"
        || result.retryAfter === undefined
    );
    t.same(
        unexpected.map(result => `${result.status} ${result.error?.type}`),
        [],
        "every refusal is about the budget, true, and says when to come back",
    );

    const onAte = await fleet.topUp(
        "bodega-budget",
        1_000,
        { operationId: "op-ate", home: "controller-ate" },
        ateController,
    );
    t.match(onAte, { spendable: true, replicas: 1 }, "spendable by the home's disk and a witness");
    const onSurco = await fleet.topUp(
        "bodega-budget",
        1_000,
        { operationId: "op-surco", home: "controller-surco" },
        surcoController,
    );
    t.match(onSurco, { spendable: true, replicas: 3 });
    const sendAstray = (): Promise<{ code: string; ran: string; }> =>
        getRefusalCode(
            fleet.topUp("bodega-budget", 1_000, { operationId: "op-ate", home: "controller-ate" }, surcoController),
        );
    await waitUntil("a resend on the other side to be refused for good", async () => {
        const { code, ran } = await sendAstray();
        t.not(code, "accepted", "never credited there");
        return code === "homeUnreachable" && ran === "no";
    });
    t.match(
        await fleet.topUp("bodega-budget", 1_000, { operationId: "op-ate", home: "controller-ate" }, ateController),
        { spendable: true },
    );

    const [cutOffAfter, othersAfter] = await Promise.all([spendAll(ate), spendAll(surco)]);
    t.ok(
        sumBills(cutOffAfter) > 0 && sumBills(cutOffAfter) <= 1_000,
        `${sumBills(cutOffAfter)} of 1000 spent on the side cut off`,
    );
    t.ok(
        sumBills(othersAfter) > 0 && sumBills(othersAfter) <= 1_000,
        `${sumBills(othersAfter)} of 1000 spent on the other`,
    );

    fleet.heal(CUT_OFF);
    const toppedUp = TOP_UP + 2_000;
    await waitUntil(
        "the zones to be one again",
        async () => (await fleet.getStatus()).budgets["bodega-budget"]?.toppedUp === toppedUp,
    );
    t.match(
        await fleet.topUp("bodega-budget", 1_000, { operationId: "op-ate", home: "controller-ate" }, surcoController),
        { spendable: true },
        "sent home and recognised",
    );
    const spent = sumBills([...cutOffBefore, ...othersBefore, ...cutOffAfter, ...othersAfter]);
    await waitUntil(
        "the books to agree",
        async () => (await fleet.getStatus()).budgets["bodega-budget"]?.spent === spent,
    );
    const budget = (await fleet.getStatus()).budgets["bodega-budget"]!;
    t.equal(budget.toppedUp, toppedUp);
    t.equal(budget.spent, spent, "every answered request is billed, once");
    t.ok(budget.conserved);
    t.ok((await fleet.getStatus()).controllers.every(controller => controller.ledger?.overspent === 0));
});
