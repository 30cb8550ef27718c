/** Guards against resets of requests that a router has no CPU time to serve. */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import t, { type Test } from "tap";
import { UnservedConnections } from "../../src/adapters/http/unservedConnections.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { wait } from "../tools/waiting.js";

const WHOLE_REQUEST = "POST /c/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
const PARTIAL_REQUEST = "POST /c/x HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n{";
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/** Until what was sent on the loopback interface has arrived. */
const ARRIVAL_MS = 50;

/** Sends `text` on a connection that is not served. Resolves to what the caller has got, and whether it was reset. */
async function playCaller(t: Test, text: string, mayLackRequest: boolean) {
    const reads: boolean[] = [];
    const refuse = (socket: Socket, isReadOn: boolean): void => {
        reads.push(isReadOn);
        socket.write(REFUSAL);
        socket.destroySoon();
    };
    const unserved = new UnservedConnections(refuse, new NoLog(), new NoMetrics());
    const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, socket => {
        setTimeout(() => unserved.reject(socket, { waitMs: ARRIVAL_MS, mayLackRequest }), ARRIVAL_MS);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    t.teardown(() => {
        caller.destroy();
        unserved.flush();
        server.close();
    });
    let received = "";
    let wasReset = false;
    caller.on("data", (bytes: Buffer) => received += bytes.toString());
    caller.on("error", () => wasReset = true);
    caller.write(text);
    await once(caller, "close");
    await wait(0);
    return { received, wasReset, reads };
}

void t.test("a request that has arrived whole is refused", async t => {
    t.same(await playCaller(t, WHOLE_REQUEST, false), { received: REFUSAL, wasReset: false, reads: [false] });
});

void t.test("the rest of a request is read behind its refusal", async t => {
    const { received, reads } = await playCaller(t, PARTIAL_REQUEST, false);
    t.same({ received, reads }, { received: REFUSAL, reads: [true] });
});

void t.test("a connection without a request is closed", async t => {
    t.same(await playCaller(t, "", false), { received: "", wasReset: false, reads: [] });
});

void t.test("a connection whose request the system may have dropped is refused", async t => {
    const { received, wasReset } = await playCaller(t, "", true);
    t.same({ received, wasReset }, { received: REFUSAL, wasReset: false });
});
