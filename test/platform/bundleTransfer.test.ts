/** What a router receives of a large configuration: links to entry boxes may be thin, and callers' answers share them. */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import t from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createLargeWireBundle } from "../tools/wireBundle.js";

const NETWORK = 84;
const CONTROLLERS = ["c1", "c2", "c3"];
const ROUTES = 1_700;
/** Most of a large configuration's length that a router may receive when it starts: routes resemble each other. */
const MOST_OF_WHOLE = 0.35;
/** Most of that length that a change of one route may cost, with all else that passes meanwhile. */
const MOST_OF_CHANGE = 0.05;

/** Counts the bytes that arrive over connections to controllers that are opened from now on. */
function countBytesFromControllers(fleet: DirectFleet): () => number {
    const sockets: Socket[] = [];
    subscribe("net.client.socket", message => {
        const { socket } = message as { socket: Socket; };
        socket.once("connect", () => {
            if (CONTROLLERS.some(box => fleet.getIp(box) === socket.remoteAddress)) {
                sockets.push(socket);
            }
        });
    });
    return () => sockets.reduce((sum, socket) => sum + socket.bytesRead, 0);
}

void t.test("a large configuration reaches a router in a part of its length, a change in a small part", async t => {
    const fleet = new DirectFleet(NETWORK);
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(CONTROLLERS.map(box => fleet.startController(box, true)));
    await fleet.putBundle("c1", createLargeWireBundle(1, ROUTES));
    const { length } = JSON.stringify(createLargeWireBundle(1, ROUTES));

    const getReceived = countBytesFromControllers(fleet);
    await fleet.startRouter("r1");
    const router = fleet.routers.get("r1")!.role.daemon;
    await waitUntil("the first bundle", () => router.getBundleRevision() === 1);
    const whole = getReceived();
    t.ok(whole < length * MOST_OF_WHOLE, `the whole in ${whole} of ${length} bytes`);

    await fleet.putBundle("c2", createLargeWireBundle(2, ROUTES, 5_000));
    await waitUntil("the change", () => router.getBundleRevision() === 2);
    const change = getReceived() - whole;
    t.ok(change < length * MOST_OF_CHANGE, `a change in ${change} of ${length} bytes`);
});
