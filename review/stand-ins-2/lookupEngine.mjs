/**
 * An engine of a plain service in a process of its own: `node lookupEngine.mjs HOST ID`. It answers each request at once with 800
 * bytes, and a request that is meant for another engine with 421. Prints its port.
 */
import { createServer } from "node:net";

const [host, id] = process.argv.slice(2);
const BODY = "x".repeat(800);

/** Returns the value of a header of a request without a body. */
function getHeader(head, name) {
    return new RegExp(`\r\n${name}: *([^\r]*)`, "i").exec(head)?.[1] ?? "";
}

function createAnswer(head) {
    const attempt = getHeader(head, "attempt-id");
    return getHeader(head, "expect-instance") === id
        ? `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nInstance-Signature: sig-${id}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`
        : `HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

const server = createServer({ noDelay: true }, socket => {
    let text = "";
    /** Bytes of the current body that have not come yet. */
    let bodyBytesLeft = 0;
    let answer = "";
    const skipBody = bytes => {
        const skipped = Math.min(bodyBytesLeft, bytes.length);
        bodyBytesLeft -= skipped;
        if (bodyBytesLeft === 0 && answer !== "") {
            socket.write(answer);
            answer = "";
        }
        return bytes.subarray(skipped);
    };
    const readHead = () => {
        const end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return undefined;
        }
        const head = text.slice(0, end + 2);
        const rest = Buffer.from(text.slice(end + 4), "latin1");
        text = "";
        bodyBytesLeft = Number(getHeader(head, "content-length"));
        answer = createAnswer(head);
        return rest;
    };
    socket.on("error", () => undefined);
    socket.on("data", bytes => {
        let rest = answer === "" ? bytes : skipBody(bytes);
        while (rest !== undefined && answer === "" && rest.length > 0) {
            text += rest.toString("latin1");
            rest = readHead();
            rest = rest === undefined ? undefined : skipBody(rest);
        }
    });
});
server.listen(0, host, () => console.log(server.address().port));
