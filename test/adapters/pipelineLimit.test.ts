/** Guards against requests sent ahead that make a process hold a request and a response for each. */
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import t, { type Test } from "tap";
import { PipelineLimit, type PipelineLimits } from "../../src/adapters/http/pipelineLimit.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { waitUntil } from "../tools/waiting.js";

const REQUEST = "GET / HTTP/1.1\r\n\r\n";

interface Fixture {
    readonly limit: PipelineLimit;
    readonly responses: ServerResponse[];
    readonly connectCaller: () => Promise<Socket>;
}

async function createFixture(t: Test, limits: PipelineLimits): Promise<Fixture> {
    const limit = new PipelineLimit("test", limits, new NoLog(), new NoMetrics());
    const responses: ServerResponse[] = [];
    const handle = limit.wrap((_request, response) => responses.push(response));
    const server: Server = createServer({ requireHostHeader: false }, handle);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const connectCaller = async (): Promise<Socket> => {
        const caller = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => undefined);
        t.teardown(() => caller.destroy());
        await once(caller, "connect");
        return caller.resume();
    };
    return { limit, responses, connectCaller };
}

void t.test("thousands of requests of one read are dropped with their connection", async t => {
    const { limit, responses, connectCaller } = await createFixture(t, { maxPerConnection: 3, maxAhead: 10 });
    const caller = await connectCaller();
    caller.write(REQUEST.repeat(3_000));
    await once(caller, "close");
    t.equal(responses.length, 3);
    t.equal(limit.getAheadCount(), 0);
    const next = await connectCaller();
    next.write(REQUEST);
    await waitUntil("the request", () => responses.length === 4);
});

void t.test("requests up to the limit are served, and answered ones do not count", async t => {
    const { limit, responses, connectCaller } = await createFixture(t, { maxPerConnection: 3, maxAhead: 10 });
    const caller = await connectCaller();
    for (let round = 1; round <= 3; round++) {
        caller.write(REQUEST.repeat(3));
        await waitUntil("the requests", () => responses.length === 3 * round);
        t.equal(limit.getAheadCount(), 2);
        responses.slice(-3).forEach(response => response.end());
        await waitUntil("the answers", () => limit.getAheadCount() === 0);
    }
    t.notOk(caller.destroyed);
});

void t.test("while many connections have sent ahead, others are served one request at a time", async t => {
    const { responses, connectCaller } = await createFixture(t, { maxPerConnection: 3, maxAhead: 4 });
    const first = await Promise.all([connectCaller(), connectCaller()]);
    first.forEach(caller => caller.write(REQUEST.repeat(3)));
    await waitUntil("the requests", () => responses.length === 6);
    const ahead = await connectCaller();
    ahead.write(REQUEST.repeat(2));
    await once(ahead, "close");
    const ordinary = await connectCaller();
    ordinary.write(REQUEST);
    await waitUntil("the ordinary request", () => responses.length === 8);
    first.forEach(caller => caller.destroy());
});
