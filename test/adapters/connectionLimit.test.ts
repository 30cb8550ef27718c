/** Guards against listeners that use up the descriptors of their process. */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import t from "tap";
import { limitConnections } from "../../src/adapters/connectionLimit.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { waitUntil } from "../tools/waiting.js";

const DESCRIPTORS = 10;
const CONNECTIONS = 4;

void t.test("connections beyond the limit are closed, and the next ones are accepted once others have ended", async t => {
    const accepted: Socket[] = [];
    const server = createServer(socket => accepted.push(socket));
    limitConnections(server, DESCRIPTORS, "test", new NoLog(), new NoMetrics());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const connectCaller = (): Socket => connect(port, "127.0.0.1").on("error", () => undefined).resume();
    const callers = Array.from({ length: CONNECTIONS }, connectCaller);
    t.teardown(() => {
        callers.forEach(caller => caller.destroy());
        accepted.forEach(socket => socket.destroy());
        server.close();
    });
    await waitUntil("the connections", () => accepted.length === CONNECTIONS);
    await once(connectCaller(), "close");
    t.equal(accepted.length, CONNECTIONS);
    accepted[0]!.destroy();
    await once(callers[0]!, "close");
    callers.push(connectCaller());
    await waitUntil("another connection", () => accepted.length === CONNECTIONS + 1);
});
