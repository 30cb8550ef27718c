/** What is logged of relayed connections that this router ends or takes over. */

/** What a relayed connection has carried, for logs. Bytes, milliseconds. */
export interface RelayProgress {
    readonly age_ms: number;
    /** Estimated time in the listen queue. */
    readonly unaccepted_ms: number;
    /** Local port of the connection to the other router. */
    readonly port: number | undefined;
    /** Time since bytes were last passed on. */
    readonly quiet_ms: number;
    readonly request_bytes: number;
    readonly answer_bytes: number;
    /** Bytes of the answer that the caller has not taken. */
    readonly unsent_bytes: number;
    /** Whether bytes of an answer have come since the caller last sent something. */
    readonly answering: boolean;
}

/** Why this router closed a relayed connection regularly. */
export type RelayCloseCause = "callerKeepsOpen" | "callerLeft" | "stopping";

/**
 * Why this router serves the caller of a relayed connection. `late`: without a link to the other router, its time to answer is over; `outdated`: it has not
 * announced the configuration that this one serves.
 */
export type FailoverCause = "late" | "linkLost" | "neighbourClosed" | "neighbourReset" | "outdated" | "stopping";

/** Why a relayed connection was reset. */
export type RelayResetCause = "neighbourLost" | "neighbourUnreachable" | "stopping";
