/** What the program of hostile connections does. */

/** How the connections misbehave. */
export const CrowdKinds = {
    /** A chunked body in chunks of one byte that stops short of its end. */
    smallChunks: "smallChunks",
    /** The same in chunks of 64 KiB. */
    largeChunks: "largeChunks",
    /** Requests without headers, sent ahead. */
    bareAhead: "bareAhead",
    /** Requests with the usual headers, sent ahead. */
    properAhead: "properAhead",
    /** A line without an end. */
    endlessLine: "endlessLine",
} as const;
export type CrowdKind = typeof CrowdKinds[keyof typeof CrowdKinds];

/** What a crowd does. `bytes`: sent on each connection at most, as far as the other side takes them. */
export interface CrowdOptions {
    readonly kind: CrowdKind;
    readonly host: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    readonly connections: number;
    readonly bytes: number;
}
