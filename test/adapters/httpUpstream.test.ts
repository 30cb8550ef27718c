/** An upstream of a sidecar whose error response does not end is refused at once, and its connection is closed. */
import { createServer, type Socket } from "node:net";
import t from "tap";
import { HttpUpstream } from "../../src/adapters/upstream/httpUpstream.js";
import { RefusalError } from "../../src/domain/resultCodes.js";
import { waitUntil } from "../tools/waiting.js";

const PIECE = Buffer.alloc(16_384, "x");
/** With what the buffers of the connection hold. */
const MAX_FLOOD_BYTES = 24_000_000;
const REFUSAL_TIMEOUT_MS = 2_000;

function sendEndlessly(socket: Socket, onSent: (bytes: number) => void): void {
    if (socket.destroyed) {
        return;
    }
    onSent(PIECE.length);
    const sendNext = (): void => sendEndlessly(socket, onSent);
    if (socket.write(PIECE)) {
        setImmediate(sendNext);
    }
    else {
        socket.once("drain", sendNext);
    }
}

void t.test("an error response without end", async t => {
    let sentBytes = 0;
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write("HTTP/1.1 500 Failed\r\n\r\n");
            sendEndlessly(socket, bytes => sentBytes += bytes);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    const upstream = new HttpUpstream(`http://127.0.0.1:${port}`, 1);
    t.teardown(async () => {
        sockets.forEach(socket => socket.destroy());
        await upstream.close();
        server.close();
    });
    const request = { type: "chat", body: {}, resumeFrom: 0, resumeText: "" } as never;
    const run = upstream.runChat(request, "a1", 10, 0, AbortSignal.timeout(REFUSAL_TIMEOUT_MS));
    const error: unknown = await run.next().catch((reason: unknown) => reason);
    t.ok(error instanceof RefusalError);
    t.match((error as RefusalError).refusal, { code: "upstreamFailed", detail: /^500 xxx/ });
    await waitUntil("the connection is closed", () => sockets.every(socket => socket.destroyed));
    t.ok(sentBytes < MAX_FLOOD_BYTES, `${sentBytes} bytes`);
});
