/** Large configurations are compressed and changes are sent as differences: links to routers may have little bandwidth. */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import t from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createLargeWireBundle } from "../tools/wireBundle.js";

const NETWORK = 84;
const CONTROLLERS = ["c1", "c2", "c3"];
const ROUTES = 1_700;
/** Maximum bytes received for the first bundle, relative to its length. Routes are similar, so they compress well. */
const MAX_INITIAL_TRANSFER_RATIO = 0.35;
/** Maximum bytes received for a change of one route, including other traffic, relative to the length of the bundle. */
const MAX_CHANGE_TRANSFER_RATIO = 0.05;

/** Counts the bytes received on connections to controllers that are opened after the call. */
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

void t.test("a router receives a large bundle compressed, and a change as a difference", async t => {
    const fleet = new DirectFleet(NETWORK);
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(CONTROLLERS.map(box => fleet.startController(box, true)));
    await fleet.putBundle("c1", createLargeWireBundle(1, ROUTES));
    const { length } = JSON.stringify(createLargeWireBundle(1, ROUTES));

    const getReceivedBytes = countBytesFromControllers(fleet);
    await fleet.startRouter("r1");
    const router = fleet.routers.get("r1")!.role.daemon;
    await waitUntil("the first bundle", () => router.getBundleRevision() === 1);
    const initialBytes = getReceivedBytes();
    t.ok(
        initialBytes < length * MAX_INITIAL_TRANSFER_RATIO,
        `received ${initialBytes} bytes for a bundle of ${length} bytes`,
    );

    await fleet.putBundle("c2", createLargeWireBundle(2, ROUTES, 5_000));
    await waitUntil("the change", () => router.getBundleRevision() === 2);
    const changeBytes = getReceivedBytes() - initialBytes;
    t.ok(
        changeBytes < length * MAX_CHANGE_TRANSFER_RATIO,
        `received ${changeBytes} bytes for a change to a bundle of ${length} bytes`,
    );
});
