/** Guards against closing a slow connection as idle, and against keeping a dead one open. */
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
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
