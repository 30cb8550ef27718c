/** Splits a socket's bytes into lines, with limits on the length of a line and on the time to receive it. */
import type { Socket } from "node:net";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";

export const MAX_LINE_BYTES = 8 * 1024 * 1024;
/** Limit on the time from the first bytes of an incomplete line to its end. */
export const LINE_TIMEOUT_MS = 10_000;

const NEWLINE = 0x0a;

/**
 * Yields the lines of a socket without their newlines until the socket ends. Throws peerLineTooLong or peerStalled. `getMaxBytes`: returns the
 * longest line that the other side may send at present.
 */
export async function* readLines(
    socket: Socket,
    getMaxBytes = () => MAX_LINE_BYTES,
    timeoutMs = LINE_TIMEOUT_MS,
): AsyncGenerator<string> {
    let parts: Buffer[] = [];
    let length = 0;
    let hasTimedOut = false;
    let timer: NodeJS.Timeout | undefined;
    const startLineTimer = (): void => {
        timer ??= setTimeout(() => {
            hasTimedOut = true;
            socket.destroy();
        }, timeoutMs);
    };
    const stopLineTimer = (): void => {
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
                stopLineTimer();
                yield line;
                start = end + 1;
                end = data.indexOf(NEWLINE, start);
            }
            if (start < data.length) {
                parts.push(data.subarray(start));
                length += data.length - start;
                startLineTimer();
            }
            const maxBytes = getMaxBytes();
            if (length > maxBytes) {
                throw new RefusalError(createRefusal("peerLineTooLong", `line exceeds ${maxBytes} bytes`));
            }
        }
    }
    catch (error) {
        if (hasTimedOut) {
            throw new RefusalError(createRefusal("peerStalled", `line incomplete after ${timeoutMs} ms`));
        }
        throw error;
    }
    finally {
        stopLineTimer();
    }
    if (hasTimedOut) {
        throw new RefusalError(createRefusal("peerStalled", `line incomplete after ${timeoutMs} ms`));
    }
}
