/**
 * A router at its CPU limit must keep its listen queue short: a connection waiting there counts against no timeout, so its
 * request may be answered after the route's timeout.
 */
import { once } from "node:events";
import { createConnection, type Socket } from "node:net";
import t from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 92;
const CALLERS = 400;
/** Shorter than the delay before TCP retransmits a SYN. */
const CHECK_DELAY_MS = 300;
const fleet = new DirectFleet(NETWORK);

void t.test("the listen queue is short; further connections are not made, so that callers can try another router", async t => {
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
    // All connections are started before the event loop, shared with the router, accepts the first one.
    await wait(CHECK_DELAY_MS);
    t.ok(connected > 0 && connected < CALLERS / 4, `${connected} of ${CALLERS} connected`);
    sockets.forEach(socket => socket.destroy());
    const later = createConnection({ host: hostname, port: Number(port) });
    await once(later, "connect");
    later.destroy();
});
