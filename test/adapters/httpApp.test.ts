/** A planned stop of an HTTP server loses no answer, and no caller can hold it up. */
import { Controller, Get, Post } from "@nestjs/common";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import t from "tap";
import { startHttpApp } from "../../src/adapters/http/httpApp.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { wait, waitUntil } from "../tools/waiting.js";

const LONG_ANSWER_BYTES = 16_000_000;
const STOP_LIMIT_MS = 1_000;
let finishSlow = (): void => undefined;

@Controller()
class TestApi {
    @Get("long")
    getLong(): string {
        return "x".repeat(LONG_ANSWER_BYTES);
    }

    @Get("slow")
    async getSlow(): Promise<string> {
        await new Promise<void>(resolve => finishSlow = resolve);
        return "slow answer";
    }

    @Post("short")
    post(): string {
        return "short answer";
    }
}

async function startApp() {
    const app = await startHttpApp("127.0.0.1:0", {
        controllers: [TestApi],
        providers: [],
        log: new NoLog(),
        metrics: new NoMetrics(),
    });
    const port = Number(app.address.split(":")[1]);
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
