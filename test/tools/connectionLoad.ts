/** Program: opens connections to an address at a steady rate, and closes each one after a while without sending anything. */
import { connect } from "node:net";
import { wait } from "./waiting.js";

/** Time for which a connection is open, in milliseconds. */
const OPEN_MS = 100;
const MS_PER_SECOND = 1_000;

const [host, port, perSecond] = process.argv.slice(2);
for (;;) {
    const socket = connect(Number(port), host!);
    socket.on("error", () => undefined);
    setTimeout(() => socket.destroy(), OPEN_MS);
    await wait(MS_PER_SECOND / Number(perSecond));
}
