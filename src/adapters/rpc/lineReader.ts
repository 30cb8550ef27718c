/** Splits a socket's bytes into lines, with a bound on a line's length and on how long one may stay unfinished. */
import type { Socket } from "node:net";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";

/** Longest line taken from a peer, in bytes. */
export const MAX_LINE_BYTES = 8 * 1024 * 1024;
/** How long a peer may leave a line unfinished, in milliseconds. */
export const LINE_STALL_MS = 10_000;

const NEWLINE = 0x0a;

/** The lines of a socket, without their ends. Ends when the socket does; throws peerLineTooLong or peerStalled. */
export async function* readLines(
    socket: Socket,
    maxBytes = MAX_LINE_BYTES,
    stallMs = LINE_STALL_MS,
): AsyncGenerator<string> {
    let parts: Buffer[] = [];
    let length = 0;
    let stalled = false;
    let timer: NodeJS.Timeout | undefined;
    const startStallTimer = (): void => {
        timer ??= setTimeout(() => {
            stalled = true;
            socket.destroy();
        }, stallMs);
    };
    const stopStallTimer = (): void => {
        clearTimeout(timer);
        timer = undefined;
    };
    try {
        for await (const data of socket as AsyncIterable<Buffer>) {
            let start = 0;
            let end = data.indexOf(NEWLINE);
            while (end >= 0) {
                parts.push(data.subarray(start, end));
                const line = parts.length === 1 ? parts[0]!.toString("utf8") : Buffer.concat(parts).toString("utf8");
                parts = [];
                length = 0;
                stopStallTimer();
                yield line;
                start = end + 1;
                end = data.indexOf(NEWLINE, start);
            }
            if (start < data.length) {
                parts.push(data.subarray(start));
                length += data.length - start;
                startStallTimer();
            }
            if (length > maxBytes) {
                throw new RefusalError(createRefusal("peerLineTooLong", `over ${maxBytes} bytes`));
            }
        }
    }
    catch (error) {
        if (stalled) {
            throw new RefusalError(createRefusal("peerStalled", `line unfinished after ${stallMs} ms`));
        }
        throw error;
    }
    finally {
        stopStallTimer();
    }
    if (stalled) {
        throw new RefusalError(createRefusal("peerStalled", `line unfinished after ${stallMs} ms`));
    }
}
