/** The head of an answer shares a write with the first bytes of the same turn, and is not held back without them. */
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, createConnection } from "node:net";
import t from "tap";
import { ResponseSink } from "../../platform/responseSink.js";
import { waitUntil } from "../tools/waiting.js";

/** Longer than a write takes to arrive over loopback. */
const QUIET_MS = 50;
const PIECE_BYTES = 1_000;

/** Sends a request and returns the sink of its answer, and what the caller has received so far, and the writes to its connection. */
async function openAnswer(t: { teardown(handler: () => void): void; }) {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    const reads: string[] = [];
    socket.on("data", bytes => reads.push(bytes.toString("latin1")));
    t.teardown(() => {
        socket.destroy();
        server.close();
    });
    socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const [, response] = await once(server, "request") as [unknown, ServerResponse];
    const writes = { count: 0 };
    const connection = response.socket!;
    const [write, writev] = [connection._write.bind(connection), connection._writev!.bind(connection)];
    connection._write = (...args) => {
        writes.count += 1;
        write(...args);
    };
    connection._writev = (...args) => {
        writes.count += 1;
        writev(...args);
    };
    return { sink: new ResponseSink(response, () => false), reads, socket, writes, response };
}

void t.test("a send is confirmed once, before the answer, and only to a router that relays the connection", async t => {
    const { reads, response } = await openAnswer(t);
    new ResponseSink(response, () => false).confirmSend();
    const sink = new ResponseSink(response, () => false, undefined, undefined, undefined, true);
    sink.confirmSend();
    sink.confirmSend();
    await waitUntil("the confirmation", () => reads.length > 0);
    sink.sendHead(200, ["Content-Length", "0"], true);
    sink.confirmSend();
    sink.end();
    await waitUntil("the answer", () => reads.join("").includes("200 OK"));
    t.match(reads.join(""), /^HTTP\/1\.1 102 Processing\r\n\r\nHTTP\/1\.1 200 OK\r\n/);
});

void t.test("head, body and end of one turn are one write", async t => {
    const { sink, reads, writes } = await openAnswer(t);
    sink.sendHead(200, ["Content-Length", "4"], true);
    queueMicrotask(() => {
        sink.write(Buffer.from("body"));
        sink.end();
    });
    await waitUntil("the body", () => reads.join("").endsWith("\r\n\r\nbody"));
    t.equal(writes.count, 1);
});

void t.test("a head without a body is sent in the same turn", async t => {
    const { sink, reads } = await openAnswer(t);
    sink.sendHead(200, ["Content-Type", "text/event-stream"], true);
    await waitUntil("the head", () => reads.join("").endsWith("\r\n\r\n"));
    t.match(reads[0], /^HTTP\/1\.1 200 OK\r\n[^]*text\/event-stream/);
    sink.write(Buffer.from("event"));
    await waitUntil("the event", () => reads.join("").includes("event"));
    sink.end();
    await waitUntil("the end", () => reads.join("").endsWith("0\r\n\r\n"));
});

void t.test("an answer that is aborted before its head was sent is reset", async t => {
    const { sink, socket } = await openAnswer(t);
    const error = new Promise<NodeJS.ErrnoException>(resolve => socket.on("error", resolve));
    sink.sendHead(200, [], true);
    sink.abort();
    t.equal((await error).code, "ECONNRESET");
});

void t.test("an answer without framing is not sent before its end, so that a killed router leaves no part of it", async t => {
    const { sink, reads, socket, writes } = await openAnswer(t);
    sink.sendHead(200, ["Content-Type", "text/plain"], false);
    t.ok(sink.write(Buffer.from("bo")));
    await new Promise(resolve => setTimeout(resolve, QUIET_MS));
    t.same(reads, []);
    sink.write(Buffer.from("dy"));
    sink.end();
    await waitUntil("the end", () => socket.readableEnded);
    t.match(reads.join(""), /^HTTP\/1\.1 200 OK\r\nContent-Type: text\/plain\r\nConnection: close\r\n\r\nbody$/);
    t.equal(writes.count, 1);
});

void t.test("an answer without framing that exceeds the buffer of its connection is passed on as it arrives", async t => {
    const { sink, reads, socket } = await openAnswer(t);
    sink.sendHead(200, [], false);
    const drained = new Promise<void>(resolve => sink.onDrain(resolve));
    const piece = Buffer.alloc(PIECE_BYTES, "x");
    let pieces = 1;
    while (sink.write(piece)) {
        pieces += 1;
    }
    await drained;
    sink.write(piece);
    sink.end();
    await waitUntil("the end", () => socket.readableEnded);
    t.equal(reads.join("").split("\r\n\r\n")[1]!.length, (pieces + 1) * PIECE_BYTES);
});
