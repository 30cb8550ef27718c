/** A process that closes its connections to other processes loses nothing that it has sent to them. */
import t from "tap";
import * as z from "zod";
import { TcpNetwork } from "../../src/adapters/rpc/tcpNetwork.js";
import { NoLog } from "../../src/ports/log.js";
import { createPeerMethod, PeerHandlers } from "../../src/ports/peer.js";
import { waitUntil } from "../tools/waiting.js";

const MESSAGE_BYTES = 500_000;
const CLOSE_LIMIT_MS = 2_000;
const MESSAGE_COUNT = 20;
const fetchMethod = createPeerMethod<object, object>("test.fetch", z.object({}));
const pieceMethod = createPeerMethod<{ text: string; }, void>("test.piece", z.object({ text: z.string() }));

function createNetwork(name: string, handlers: PeerHandlers): TcpNetwork {
    const identity = { name, role: "router", zone: "z", incarnation: name } as const;
    return new TcpNetwork({ identity, secret: "s".repeat(20), handlers, log: new NoLog(), addressMap: {} });
}

void t.test("messages that a peer has not taken when its connections are closed arrive", async t => {
    const handlers = new PeerHandlers();
    const sender = createNetwork("sender", handlers);
    const port = await sender.listen("127.0.0.1", 0);
    handlers.add(fetchMethod, (_params, peer) => {
        for (let i = 0; i < MESSAGE_COUNT; i++) {
            peer.notify(pieceMethod, { text: "x".repeat(MESSAGE_BYTES) });
        }
        setImmediate(() => closing = sender.close(CLOSE_LIMIT_MS));
        return {};
    });
    let closing: Promise<void> | undefined;
    let pieces = 0;
    const receiverHandlers = new PeerHandlers();
    receiverHandlers.add(pieceMethod, () => {
        pieces += 1;
    });
    const receiver = createNetwork("receiver", receiverHandlers);
    const peer = await receiver.connect(`127.0.0.1:${port}`);
    let isClosed = false;
    peer.onClose(() => isClosed = true);
    void peer.call(fetchMethod, {}, 10_000).catch(() => undefined);
    await waitUntil("the close", () => isClosed);
    await closing;
    t.equal(pieces, MESSAGE_COUNT);
    await receiver.close(CLOSE_LIMIT_MS);
});
