/** Ends the parsing of what an HTTP server has read from a connection. */
import type { Socket } from "node:net";

/** Tells the parser that what follows is no HTTP, so that it leaves the rest alone. */
const STOP_PARSING = 2;

/**
 * Stops the parser from creating a request and a response for each request of the bytes that it is working on, which it does even on a destroyed
 * connection. The parser is no documented property of a socket; without it, they are created and dropped.
 */
export function stopParsing(socket: Socket): void {
    const { parser } = socket as unknown as { readonly parser?: { onIncoming?: () => number; }; };
    if (parser instanceof Object) {
        parser.onIncoming = () => STOP_PARSING;
    }
}
