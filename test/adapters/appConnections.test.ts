/** A planned stop of an HTTP server loses no answer, and no caller can hold it up. */
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import t from "tap";
import { AppConnections } from "../../src/adapters/http/appConnections.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { wait, waitUntil } from "../tools/waiting.js";

const LONG_ANSWER_BYTES = 16_000_000;
const STOP_LIMIT_MS = 1_000;
let finishSlow = (): void => undefined;

async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    switch (request.url) {
        case "/long":
            response.end("x".repeat(LONG_ANSWER_BYTES));
            break;
        case "/slow":
            await new Promise<void>(resolve => finishSlow = resolve);
            response.end("slow answer");
            break;
        default:
            await request.toArray();
            response.end("short answer");
    }
}

async function startApp() {
    const connections = new AppConnections(new NoLog(), new NoMetrics());
    const server = connections.createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const app = {
        announceClose: () => connections.startAnnouncing(),
        close: (limitMs: number) => connections.drain(server, limitMs),
    };
    const send = async (text: string): Promise<Socket> => {
        const socket = connect(port, "127.0.0.1");
        await once(socket, "connect");
        socket.write(text);
        return socket;
    };
    return { app, send };
}

async function readAll(socket: Socket): Promise<string> {
    return Buffer.concat(await socket.toArray()).toString();
}

void t.test("a caller that reads a complete answer late gets all of it", async t => {
    const { app, send } = await startApp();
    const socket = await send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
    await wait(200);
    const closed = app.close(10_000);
    await wait(200);
    t.ok((await readAll(socket)).length > LONG_ANSWER_BYTES);
    await closed;
});

void t.test("a request under way is answered, and its caller told of the close", async t => {
    const { app, send } = await startApp();
    const socket = await send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    await wait(100);
    const closed = app.close(10_000);
    finishSlow();
    t.match(await readAll(socket), /connection: close\r\n[^]*slow answer$/i);
    await closed;
});

void t.test("a caller with a kept connection is told of the close before the server stops listening", async t => {
    const { app, send } = await startApp();
    const socket = await send("POST /short HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    await once(socket, "data");
    app.announceClose();
    socket.write("POST /short HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    t.match(await readAll(socket), /connection: close\r\n[^]*short answer$/i);
    await app.close(STOP_LIMIT_MS);
});

void t.test("a caller that never sends the rest of its request does not hold up the stop", async t => {
    const { app, send } = await startApp();
    const socket = (await send("POST /short HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")).on(
        "error",
        () => undefined,
    );
    await wait(100);
    let isClosed = false;
    void app.close(STOP_LIMIT_MS).then(() => isClosed = true);
    await t.resolves(waitUntil("the stop", () => isClosed, STOP_LIMIT_MS * 3));
    socket.destroy();
});
