/** Guards against runs at sidecars for callers that left while their router had no CPU time. */
import { connect } from "node:net";
import t from "tap";
import { getRunCounts } from "../tools/caller.js";
import { Fleet } from "../tools/fleet.js";
import { wait } from "../tools/waiting.js";

const CALLERS = 8;
const LEAVE_AFTER_MS = 100;
const PAUSE_MS = 800;
const SETTLE_MS = 1_000;

const fleet = new Fleet({
    zones: ["wien"],
    services: [{ name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { tokenMs: 10 } }],
});
t.teardown(() => fleet.stop());

async function countRuns(): Promise<number> {
    const counts = await getRunCounts(fleet.getStandIns("wetterwort"));
    return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

void t.test("requests whose callers left while their router was paused do not run", async t => {
    await fleet.start();
    const key = await fleet.createAccount("member", 1_000_000);
    const router = fleet.getRouters()[0]!;
    const { hostname, port } = new URL(router.getUrl());
    const body = JSON.stringify({ model: "wetterwort", messages: [{ role: "user", content: "out=20" }], stream: true });
    const head = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: h",
        `Authorization: Bearer ${key}`,
        "Content-Type: application/json",
        `Content-Length: ${body.length}`,
    ];
    const request = `${head.join("\r\n")}\r\n\r\n${body}`;
    const send = () => {
        const socket = connect({ host: hostname, port: Number(port) }, () => socket.write(request));
        return socket.on("error", () => undefined);
    };
    const staying = send();
    await wait(SETTLE_MS);
    staying.destroy();
    const before = await countRuns();
    t.ok(before > 0, "the request of a caller that stays runs");
    router.freeze();
    const leaving = Array.from({ length: CALLERS }, send);
    await wait(LEAVE_AFTER_MS);
    leaving.forEach(socket => socket.destroy());
    await wait(PAUSE_MS);
    router.thaw();
    await wait(SETTLE_MS);
    t.equal(await countRuns() - before, 0);
});
