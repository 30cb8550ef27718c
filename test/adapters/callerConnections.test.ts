/** Guards against requests that are lost or torn because a connection was read past the event loop to see whether its caller has left. */
import fc from "fast-check";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import t from "tap";
import { CallerConnections } from "../../src/adapters/http/callerConnections.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { waitUntil } from "../tools/waiting.js";

const callers = new CallerConnections(new NoLog(), new NoMetrics(), () => false);
const bodies: string[] = [];
const open: { readonly socket: Socket; readonly response: ServerResponse; }[] = [];
const server = createServer((request, response) => {
    callers.beginExchange(request, response, "a1");
    let body = "";
    request.on("data", (bytes: Buffer) => body += bytes.toString("latin1"));
    request.on("end", () => {
        bodies.push(body);
        open.push({ socket: request.socket, response });
    });
});
server.on("connection", (socket: Socket) => callers.add(socket));
server.listen(0, "127.0.0.1");
await once(server, "listening");
const { port } = server.address() as AddressInfo;
t.teardown(() => {
    server.closeAllConnections();
    server.close();
});

function formatRequest(body: string): string {
    return `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

async function connectCaller(): Promise<Socket> {
    const caller = connect({ host: "127.0.0.1", port, noDelay: true }).on("error", () => undefined);
    await once(caller, "connect");
    caller.resume();
    return caller;
}

async function waitForRequests(count: number): Promise<Socket> {
    await waitUntil("the requests", () => bodies.length === count);
    return open.at(-1)!.socket;
}

void t.test("requests that arrive while an earlier one is served are read whole and in order, wherever they are split", async t => {
    const pieces = fc.array(fc.record({ length: fc.integer({ min: 1, max: 120 }), isReadAhead: fc.boolean() }), {
        maxLength: 8,
    });
    await fc.assert(
        fc.asyncProperty(pieces, async splits => {
            bodies.length = 0;
            open.length = 0;
            const caller = await connectCaller();
            caller.write(formatRequest("first"));
            const socket = await waitForRequests(1);
            let rest = formatRequest("second") + formatRequest("third");
            for (const { length, isReadAhead } of [...splits, { length: rest.length, isReadAhead: false }]) {
                caller.write(rest.slice(0, length));
                rest = rest.slice(length);
                // The system has the bytes, and the event loop has not read them.
                if (isReadAhead && callers.hasLeft(socket)) {
                    throw new Error("the caller has not left");
                }
                await new Promise(setImmediate);
            }
            open[0]!.response.end();
            await waitUntil("the second request", () => bodies.length >= 2);
            open[1]!.response.end();
            await waitForRequests(3);
            const { heads } = callers.count();
            open[2]!.response.end();
            caller.destroy();
            await waitUntil("the end", () => callers.count().connections === 0);
            if (bodies.join() !== "first,second,third" || heads !== 0) {
                throw new Error(bodies.join());
            }
        }),
        { seed: 80, numRuns: 100 },
    );
    t.pass("at every split");
});

for (const close of ["end", "destroy", "resetAndDestroy"] as const) {
    void t.test(`a caller has left once its close has arrived, before the event loop reads it: ${close}`, async t => {
        bodies.length = 0;
        const caller = await connectCaller();
        caller.write(formatRequest("first"));
        const socket = await waitForRequests(1);
        t.notOk(callers.hasLeft(socket));
        caller[close]();
        let reads = 0;
        socket.once("end", () => reads += 1);
        socket.once("close", () => reads += 1);
        // A half that is closed is handed to the system after the check phase, the others at once.
        if (close !== "end") {
            t.ok(callers.hasLeft(socket));
            t.equal(reads, 0, "the event loop has not read it");
        }
        await waitUntil("the close", () => callers.hasLeft(socket));
    });
}
