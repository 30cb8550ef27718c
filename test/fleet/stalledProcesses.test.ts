/** Requests survive processes that stall for longer than their connections may be idle, and then go on. */
import t from "tap";
import { askChat, getExpectedAnswer } from "../tools/caller.js";
import { Fleet, type FleetProcess } from "../tools/fleet.js";

/** Longer than the idle timeout of connections. */
const STALL_MS = 3_000;
const REQUESTS = 3;
const fleet = new Fleet({
    zones: ["wien"],
    services: [{ name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { tokenMs: 0 } }],
});
let key = "";
t.before(async () => {
    await fleet.start();
    key = await fleet.createAccount("member", 1_000_000);
});
t.teardown(() => fleet.stop());

async function askDuringStall(process: FleetProcess): Promise<string[]> {
    const router = fleet.getRouters()[0]!;
    // Opens the connections.
    await askChat(router, key);
    process.freeze();
    setTimeout(() => process.thaw(), STALL_MS);
    const answers = await Promise.all(Array.from({ length: REQUESTS }, () => askChat(router, key)));
    return answers.map(({ isComplete, text, status, error }) =>
        isComplete && text === getExpectedAnswer() ? "whole" : `${status} ${error?.code} ${error?.type}`
    );
}

// Guards against a run that its sidecar cancelled when the connection was lost, told as cancelled by its caller.
void t.test("requests are answered although their sidecar is frozen", async t => {
    t.same(await askDuringStall(fleet.getSidecars()[0]!), Array(REQUESTS).fill("whole"));
});

// Guards against a router that takes its own stall for the silence of its peers.
void t.test("requests are answered although their router is frozen", async t => {
    t.same(await askDuringStall(fleet.getRouters()[0]!), Array(REQUESTS).fill("whole"));
});
