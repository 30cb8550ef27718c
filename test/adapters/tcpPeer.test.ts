/** A connection over which bytes come slowly is not a silent one; one that leaves a call unanswered may be. */
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import t from "tap";
import * as z from "zod";
import { SILENCE_LIMIT_MS, TcpPeer } from "../../src/adapters/rpc/tcpPeer.js";
import { createPeerMethod, PeerHandlers } from "../../src/ports/peer.js";
import { wait } from "../tools/waiting.js";

const method = createPeerMethod<Record<string, unknown>, { text: string; }>("test.long", z.object({}));
const TURN_MS = 100;

/** Answers the one call a few bytes at a time, for longer than a silent connection is kept. */
async function answerSlowly(socket: Socket): Promise<void> {
    const [asked] = await once(socket, "data") as [Buffer];
    const { id } = JSON.parse(asked.toString().split("\n")[0]!) as { id: number; };
    socket.write(`{"jsonrpc":"2.0","id":${id},"result":{"text":"`);
    for (let passedMs = 0; passedMs < SILENCE_LIMIT_MS * 1.5; passedMs += TURN_MS) {
        await wait(TURN_MS);
        socket.write("x");
    }
    socket.write("\"}}\n");
}

void t.test("an answer that takes longer than the silence limit on a thin link arrives whole", async t => {
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

void t.test("a connection that went silent is closed, though each call on it is given up soon", async t => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.resume();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as { port: number; }).port, "127.0.0.1");
    await once(socket, "connect");
    const peer = new TcpPeer(socket, new PeerHandlers(), () => true);
    const lost = new Promise<void>(resolve => peer.onLost(resolve));
    void peer.run();
    t.teardown(() => {
        peer.close();
        server.close();
    });
    await t.rejects(peer.call(method, {}, TURN_MS), { message: /peerTimeout/ });
    await lost;
    t.equal(peer.closedBy?.code, "peerStalled");
});
