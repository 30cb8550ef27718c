/**
 * A box that is at the limit of its processor: its loop takes one connection a poll, and what comes beyond waits in the listen
 * queue, where no clock of ours sees it. One lay 1.4 s there, and its request was answered after its route's time-out.
 */
import { once } from "node:events";
import { createConnection, type Socket } from "node:net";
import t from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 92;
const CALLERS = 400;
/** Less than it takes until a connection that was not made is tried again. Milliseconds. */
const LOOK_AFTER_MS = 300;
const fleet = new DirectFleet(NETWORK);

void t.test("few connections wait to be taken; the others are not made, so that their callers can go elsewhere", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await fleet.startRouter("r1");
    const { hostname, port } = new URL(fleet.getCallerUrl("r1", "/"));
    const sockets: Socket[] = [];
    let connected = 0;
    for (let i = 0; i < CALLERS; i++) {
        const socket = createConnection({ host: hostname, port: Number(port) });
        socket.on("error", () => undefined);
        socket.on("connect", () => connected += 1);
        sockets.push(socket);
    }
    // All are begun before the loop of this process, which is the router's too, takes the first one.
    await wait(LOOK_AFTER_MS);
    t.ok(connected > 0 && connected < CALLERS / 4, `${connected} of ${CALLERS} connected`);
    sockets.forEach(socket => socket.destroy());
    const later = createConnection({ host: hostname, port: Number(port) });
    await once(later, "connect");
    later.destroy();
});
