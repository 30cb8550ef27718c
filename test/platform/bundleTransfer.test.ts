/** What a router receives of a large configuration: links to entry boxes may be thin, and callers' answers share them. */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import t from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 84;
const CONTROLLERS = ["c1", "c2", "c3"];
const ROUTES = 1_700;
/** Most of a large configuration's length that a router may receive when it starts: routes resemble each other. */
const MOST_OF_WHOLE = 0.35;
/** Most of that length that a change of one route may cost, with all else that passes meanwhile. */
const MOST_OF_CHANGE = 0.05;

/** A configuration of many routes. `timeoutMs`: of one of them. */
function createLargeBundle(revision: number, timeoutMs: number) {
    const bundle = createWireBundle(revision);
    const [first] = bundle.routes;
    const more = Array.from({ length: ROUTES }, (_, i) => ({
        ...first!,
        name: `route-${(i * 7_919).toString(36)}`,
        path_prefix: `/more/${(i * 104_729).toString(36)}/`,
        timeout_ms: i === ROUTES / 2 ? timeoutMs : first!.timeout_ms,
    }));
    return { ...bundle, routes: [...bundle.routes, ...more] };
}

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
    await fleet.putBundle("c1", createLargeBundle(1, 4_000));
    const { length } = JSON.stringify(createLargeBundle(1, 4_000));

    const getReceived = countBytesFromControllers(fleet);
    await fleet.startRouter("r1");
    const router = fleet.routers.get("r1")!.role.daemon;
    await waitUntil("the first bundle", () => router.getBundleRevision() === 1);
    const whole = getReceived();
    t.ok(whole < length * MOST_OF_WHOLE, `the whole in ${whole} of ${length} bytes`);

    await fleet.putBundle("c2", createLargeBundle(2, 5_000));
    await waitUntil("the change", () => router.getBundleRevision() === 2);
    const change = getReceived() - whole;
    t.ok(change < length * MOST_OF_CHANGE, `a change in ${change} of ${length} bytes`);
});
