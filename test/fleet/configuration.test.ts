/** Declared configuration: races, resends across leaders, a leader that was frozen, and never an older value. */
import t from "tap";
import { request } from "undici";
import { getRefusal } from "../../src/domain/resultCodes.js";
import { Fleet, type FleetProcess } from "../tools/fleet.js";
import { waitUntil } from "../tools/waiting.js";

const fleet = new Fleet({
    zones: ["wien", "linz", "graz"],
    services: [{ name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { checksOrders: false } }],
});
t.before(() => fleet.start());
t.teardown(() => fleet.stop());

async function tryPut(controller: FleetProcess, name: string, spec: object, extra: object = {}): Promise<string> {
    try {
        await fleet.put("clientAccount", name, { keyHashes: [], ...spec }, extra, controller);
        return "accepted";
    }
    catch (error) {
        return getRefusal(error).code;
    }
}

async function getLeader(among: readonly FleetProcess[]): Promise<FleetProcess> {
    let leader: string | undefined;
    await waitUntil("a leader", async () => {
        const status = await fleet.getStatus(among[0]!);
        leader = status.connected ? status.leader : undefined;
        return among.some(controller => controller.name === leader);
    });
    return fleet.get(leader!);
}

void t.test("of operators that race with equal revisions one wins and the others are told", async t => {
    const { revision } = await fleet.put("clientAccount", "raced", { keyHashes: [] });
    const outcomes = await Promise.all(
        fleet.getControllers().map((controller, i) =>
            tryPut(controller, "raced", { displayName: `operator ${i}` }, { revision })
        ),
    );
    t.same([...outcomes].sort(), ["accepted", "revisionConflict", "revisionConflict"]);
});

void t.test("a change is in force at every daemon within two seconds", async t => {
    await fleet.waitInForce();
    const from = performance.now();
    await fleet.put("clientAccount", "quick", { keyHashes: [] });
    await fleet.waitInForce();
    const ms = performance.now() - from;
    t.comment(`in force everywhere after ${Math.round(ms)} ms`);
    t.pass();
});

void t.test("a change resent after its leader was frozen gets the first answer; the thawed leader has no say", async t => {
    const leader = await getLeader(fleet.getControllers());
    const others = fleet.getControllers().filter(controller => controller !== leader);
    const first = await fleet.put("clientAccount", "resent", { keyHashes: [], displayName: "one" }, {
        operationId: "op-1",
        revision: 0,
    }, others[0]!);
    await fleet.put("upstream", "wetterwort-wien-1", {
        ...fleet.getUpstreamSpec("wetterwort-wien-1"),
        model: "storm-1",
    });
    const engine = fleet.get("wetterwort-wien-1");
    const getOrder = async (): Promise<{ term: number; model: string; }> =>
        await (await request(`${engine.getUrl()}/order`)).body.json() as { term: number; model: string; };
    await waitUntil("the order to be carried out", async () => (await getOrder()).model === "storm-1");
    const termBefore = (await getOrder()).term;

    leader.freeze();
    const successor = await getLeader(others);
    t.not(successor.name, leader.name);
    const resent = await fleet.put("clientAccount", "resent", { keyHashes: [], displayName: "one" }, {
        operationId: "op-1",
        revision: 0,
    }, successor);
    t.equal(resent.revision, first.revision, "the first answer, by another leader");
    await fleet.put(
        "upstream",
        "wetterwort-wien-1",
        { ...fleet.getUpstreamSpec("wetterwort-wien-1"), model: "storm-2" },
        {},
        successor,
    );
    await waitUntil("the successor's order", async () => (await getOrder()).model === "storm-2");
    t.ok((await getOrder()).term > termBefore);

    leader.thaw();
    const outcome = await tryPut(leader, "late", {}, { operationId: "op-late" });
    await waitUntil("the thawed one to follow", async () => (await fleet.getStatus(leader)).leader === successor.name);
    t.equal((await getOrder()).model, "storm-2", "no order of the frozen leader reached an engine that does not check");
    const resend = await tryPut(successor, "late", {}, { operationId: "op-late" });
    t.equal(resend, "accepted");
    t.ok(["accepted", "noMajority", "changeUnknown"].includes(outcome), outcome);
});

void t.test("a controller without a majority accepts nothing and says so", async t => {
    fleet.cutOff(["graz"]);
    const alone = fleet.getOfZone("controller", "graz");
    await waitUntil("it to notice", async () => !(await fleet.getStatus(alone)).connected);
    // Until the cut is noticed the truthful answer is changeUnknown; accepted it must never be.
    await waitUntil("a definite refusal", async () => {
        const outcome = await tryPut(alone, "nobody", {});
        t.not(outcome, "accepted");
        return outcome === "noMajority";
    });
    fleet.heal(["graz"]);
    await waitUntil("it to be back", async () => (await fleet.getStatus(alone)).connected);
    t.equal(await tryPut(alone, "somebody", {}), "accepted");
});

void t.test("a daemon that comes back after 500 changes never shows an older value", async t => {
    const router = fleet.getRouters()[0]!;
    const before = (await fleet.getStatus()).revision;
    await router.kill();
    for (let i = 0; i < 500; i += 50) {
        await Promise.all(
            Array.from(
                { length: 50 },
                (_, j) =>
                    fleet.put("clientAccount", `many-${(i + j) % 20}`, {
                        keyHashes: [],
                        displayName: `change ${i + j}`,
                    }),
            ),
        );
    }
    const wanted = (await fleet.getStatus()).revision;
    t.ok(wanted >= before + 500);
    await router.start();
    const seen: number[] = [];
    await waitUntil("the newest revision in force", async () => {
        const status = await fleet.getStatus();
        const daemon = status.daemons.find(candidate => candidate.name === router.name);
        if (daemon !== undefined && daemon.silentMs < 1_000 && daemon.incarnation !== "") {
            seen.push(daemon.revision);
        }
        return daemon?.revision === status.revision;
    });
    const ready = await request(`${router.getUrl()}/readyz`);
    t.equal(ready.statusCode, 200);
    const applied = router.logLines.filter(line => line.includes("event=config_applied")).map(line =>
        Number(/revision=(\d+)/.exec(line)![1])
    );
    t.same(
        applied,
        [...applied].sort((a, b) => a - b).filter((revision, i, all) => revision !== all[i - 1] || i === 0),
    );
    t.ok(applied[applied.length - 1]! >= wanted);
});
