/**
 * Guards against closing a slow connection as idle, against keeping a dead one open, and against taking a stall of this
 * process for the peer's silence.
 */
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import t from "tap";
import * as z from "zod";
import { IDLE_TIMEOUT_MS, TcpPeer } from "../../src/adapters/rpc/tcpPeer.js";
import { createPeerMethod, PeerHandlers } from "../../src/ports/peer.js";
import { wait } from "../tools/waiting.js";

const method = createPeerMethod<Record<string, unknown>, { text: string; }>("test.long", z.object({}));
const BYTE_INTERVAL_MS = 100;

/** Answers one call a byte at a time, for longer than the idle timeout. */
async function answerSlowly(socket: Socket): Promise<void> {
    const [request] = await once(socket, "data") as [Buffer];
    const { id } = JSON.parse(request.toString().split("\n")[0]!) as { id: number; };
    socket.write(`{"jsonrpc":"2.0","id":${id},"result":{"text":"`);
    for (let passedMs = 0; passedMs < IDLE_TIMEOUT_MS * 1.5; passedMs += BYTE_INTERVAL_MS) {
        await wait(BYTE_INTERVAL_MS);
        socket.write("x");
    }
    socket.write("\"}}\n");
}

void t.test("an answer that takes longer than the idle timeout over a slow link is received completely", async t => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        void answerSlowly(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as { port: number; }).port, "127.0.0.1");
    await once(socket, "connect");
    const peer = new TcpPeer(socket, new PeerHandlers(), () => true);
    void peer.run();
    t.teardown(() => {
        peer.close();
        server.close();
    });
    const answer = await peer.call(method, {}, 60_000);
    t.match(answer.text, /^x+$/);
});

void t.test("a dead connection is closed even if each call on it times out before the idle timeout", async t => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.resume();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as { port: number; }).port, "127.0.0.1");
    await once(socket, "connect");
    const peer = new TcpPeer(socket, new PeerHandlers(), () => true);
    const lost = new Promise<void>(resolve => peer.setCloseListener(resolve));
    void peer.run();
    t.teardown(() => {
        peer.close();
        server.close();
    });
    await t.rejects(peer.call(method, {}, BYTE_INTERVAL_MS), { message: /peerTimeout/ });
    await lost;
    t.equal(peer.closedBy?.code, "peerStalled");
});

/** Blocks this thread. */
function stall(ms: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms);
}

/** Answers every call at once; runs in a thread of its own, which goes on while the test's thread is blocked. */
const ANSWERING_SERVER = `
    const { createServer } = require("node:net");
    const { parentPort } = require("node:worker_threads");
    const server = createServer(socket => socket.on("data", bytes => {
        for (const line of bytes.toString().trim().split("\\n")) {
            const { id } = JSON.parse(line);
            if (id !== undefined) {
                socket.write(JSON.stringify({ jsonrpc: "2.0", id, result: { text: "x" } }) + "\\n");
            }
        }
    }));
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

void t.test("an answer that arrives while this process is stalled is received", async t => {
    const server = new Worker(ANSWERING_SERVER, { eval: true });
    const [port] = await once(server, "message") as [number];
    const socket = connect(port, "127.0.0.1");
    await once(socket, "connect");
    const peer = new TcpPeer(socket, new PeerHandlers(), () => true);
    void peer.run();
    t.teardown(async () => {
        peer.close();
        await server.terminate();
    });
    const answer = peer.call(method, {}, BYTE_INTERVAL_MS);
    stall(IDLE_TIMEOUT_MS * 1.5);
    t.equal((await answer).text, "x");
    t.ok(peer.isOpen(), "the connection is kept");
});
