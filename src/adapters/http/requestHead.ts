/** Reads what routing needs from the head of an HTTP request that no HTTP server has read. */

export interface RequestHead {
    readonly target: string;
    readonly host: string;
}

const REQUEST_LINE = /^[A-Z-]+ (\S+) HTTP\/1\.[01]\r\n/;

/** Returns undefined for text that is no head of a request. */
export function tryReadRequestHead(head: string): RequestHead | undefined {
    const target = REQUEST_LINE.exec(head)?.[1];
    return target === undefined ? undefined : { target, host: tryGetHeader(head, "host") ?? "" };
}

/** Returns the first value of a header in a head; undefined if there is none. `name`: without characters that regular expressions reserve. */
export function tryGetHeader(head: string, name: string): string | undefined {
    return new RegExp(`\\r\\n${name}:[ \\t]*([^\\r\\n]*?)[ \\t]*\\r\\n`, "i").exec(head)?.[1];
}
