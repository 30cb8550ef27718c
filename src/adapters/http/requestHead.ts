/** Reads what routing needs from the first bytes of an HTTP request that no HTTP server has read. */

export interface RequestHead {
    readonly target: string;
    readonly host: string;
}

const REQUEST_LINE = /^[A-Z]+ (\S+) HTTP\/1\.[01]\r\n/;
const HOST = /\r\nhost:[ \t]*([^\r\n]*?)[ \t]*\r\n/i;
const HEAD_END = "\r\n\r\n";

/** Returns undefined if the bytes do not begin with a whole head. */
export function tryReadRequestHead(bytes: Buffer): RequestHead | undefined {
    const end = bytes.indexOf(HEAD_END, 0, "latin1");
    const head = bytes.toString("latin1", 0, end + HEAD_END.length);
    const target = REQUEST_LINE.exec(head)?.[1];
    return end < 0 || target === undefined ? undefined : { target, host: HOST.exec(head)?.[1] ?? "" };
}
