/**
 * Program: connections that send more than they should, and read nothing. Prints a line once everything that the other side takes has been sent;
 * the connections stay open until the process is ended.
 */
import { connect } from "node:net";
import { CrowdKinds, type CrowdOptions } from "./crowdOptions.js";

const LARGE_CHUNK_BYTES = 65_536;
const WRITE_BYTES = 65_536;
/** After which a connection is taken for one whose other side reads no more. */
const QUIET_MS = 1_500;
const CHECK_PERIOD_MS = 100;

const { kind, host, port, method, path, connections, bytes } = JSON.parse(process.argv[2]!) as CrowdOptions;
const usualHeaders = [
    "Host: api.example",
    "Credential: key-1",
    "Token-Usage: 10,5",
    "Deadline-Ms: 10000",
].join("\r\n");

function repeatToSize(text: string, size: number): string {
    return text.repeat(Math.max(1, Math.floor(size / text.length)));
}

/** Returns what is sent first, and what is then sent again and again. */
function createParts(): { head: string; piece: string; } {
    const chunkedHead =
        `${method} ${path} HTTP/1.1\r\n${usualHeaders}\r\nAttempt-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n`;
    switch (kind) {
        case CrowdKinds.smallChunks:
            return { head: chunkedHead, piece: repeatToSize("1\r\nx\r\n", WRITE_BYTES) };
        case CrowdKinds.largeChunks: {
            const chunk = `${LARGE_CHUNK_BYTES.toString(16)}\r\n${"x".repeat(LARGE_CHUNK_BYTES)}\r\n`;
            return { head: chunkedHead, piece: chunk };
        }
        case CrowdKinds.bareAhead:
            return { head: "", piece: repeatToSize(`${method} ${path} HTTP/1.1\r\n\r\n`, WRITE_BYTES) };
        case CrowdKinds.properAhead: {
            const request = `${method} ${path} HTTP/1.1\r\n${usualHeaders}\r\nAttempt-Id: c1\r\n\r\n`;
            return { head: "", piece: repeatToSize(request, WRITE_BYTES) };
        }
        case CrowdKinds.endlessLine:
            return { head: "", piece: "x".repeat(WRITE_BYTES) };
    }
}

const { head, piece } = createParts();
let lastProgressAt = performance.now();
let sentBytes = 0;

function startConnection(): void {
    const socket = connect(port, host).on("error", () => undefined).pause();
    let remaining = bytes;
    const send = (): void => {
        while (remaining > 0 && !socket.destroyed) {
            const part = remaining < piece.length && kind !== CrowdKinds.largeChunks
                ? piece.slice(0, remaining)
                : piece;
            remaining -= part.length;
            sentBytes += part.length;
            lastProgressAt = performance.now();
            if (!socket.write(part)) {
                socket.once("drain", send);
                return;
            }
        }
    };
    socket.once("connect", () => {
        if (head !== "") {
            socket.write(head);
        }
        send();
    });
}

for (let i = 0; i < connections; i++) {
    startConnection();
}
setInterval(() => {
    if (performance.now() - lastProgressAt > QUIET_MS) {
        console.log(`sent ${sentBytes}`);
        lastProgressAt = Infinity;
    }
}, CHECK_PERIOD_MS);
