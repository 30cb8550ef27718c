/**
 * A crowd of clients at one router: `node load.mjs HOST PORT ROUTE_HOST PATH MORE_PER_SECOND BODY_BYTES`. It grows each second. Each
 * client sends one request at a time, each on a new connection.
 */
import { connect } from "node:net";

const [host, port, routeHost, path, morePerSecond, bodyBytes] = process.argv.slice(2);
const MAX_CLIENTS = 80;
const PAUSE_MS = 20;
/** Before the next request where the connection was closed without an answer. */
const RETRY_MS = 200;
const GIVE_UP_MS = 2_000;
const BODY = Buffer.alloc(Number(bodyBytes), "x");
let lastId = 0;

function formatHead() {
    lastId += 1;
    return [
        `POST ${path} HTTP/1.1`,
        `Host: ${routeHost}`,
        `Attempt-Id: load-${process.pid}-${lastId}`,
        `Deadline-Ms: ${GIVE_UP_MS}`,
        `Content-Length: ${BODY.length}`,
        "Connection: close",
        "",
        "",
    ].join("\r\n");
}

/** Resolves to whether the request has been answered. */
function sendRequest() {
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        let isAnswered = false;
        const finish = () => {
            socket.destroy();
            resolve(isAnswered);
        };
        socket.setNoDelay(true);
        socket.setTimeout(GIVE_UP_MS, finish);
        socket.on("error", finish);
        socket.on("close", finish);
        socket.on("connect", () => {
            socket.write(formatHead());
            socket.write(BODY);
        });
        socket.on("data", () => isAnswered = true);
    });
}

async function runClient() {
    for (;;) {
        const isAnswered = await sendRequest();
        await new Promise(resolve => setTimeout(resolve, isAnswered ? PAUSE_MS : RETRY_MS));
    }
}

for (let count = 0; count < MAX_CLIENTS; count++) {
    void runClient();
    await new Promise(resolve => setTimeout(resolve, 1_000 / Number(morePerSecond)));
}
