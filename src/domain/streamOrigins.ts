/**
 * Remembers which software began each resumable stream, by the id of the caller's attempt that brought its first event.
 * Streams of different software versions do not fit together, so a stream may only be resumed at the version that began
 * it. A record that expired or was evicted makes the stream's origin unknown, never wrong.
 */
import { createHash } from "node:crypto";
import * as z from "zod";
import { MAX_NAME_LENGTH } from "./bundle.js";
import { MAX_VERSION_LENGTH } from "./upstreamRegistry.js";

/** Settings section `streamOrigins`. Times in milliseconds. */
export const streamOriginsSchema = z.strictObject({
    /** Number of controllers that each router reports its streams to. */
    copies: z.int().min(1).max(8),
    /** Time for which reports are batched. A stream that breaks off earlier cannot be resumed at another router. */
    batchDelayMs: z.int().min(0).max(1_000),
    /** Maximum time that a resumption waits for the origin of its stream. */
    lookupTimeoutMs: z.int().min(10).max(5_000),
    /** How long a stream is remembered at least; longer if its caller's deadline is later. */
    minRetentionMs: z.int().min(1_000).max(600_000),
    /** Maximum number of streams that a router remembers. */
    maxStreams: z.int().min(1).max(1_000_000),
});
export type StreamOriginsOptions = z.infer<typeof streamOriginsSchema>;

/** Longest time that a stream is remembered, whatever its caller's deadline is. Milliseconds. */
export const MAX_ORIGIN_RETENTION_MS = 600_000;

/** The software that sent the first event of a stream. */
export const streamOriginSchema = z.object({
    service: z.string().max(MAX_NAME_LENGTH),
    /** Software version of the upstream; empty if it reports none. */
    version: z.string().max(MAX_VERSION_LENGTH),
});
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** `ambiguous`: more than one origin was reported, or the upstream may have run another version than it had reported. */
export const knownOriginSchema = z.union([streamOriginSchema, z.literal("ambiguous")]);
export type KnownOrigin = z.infer<typeof knownOriginSchema>;

/** Identifies a stream; see `computeStreamKey`. */
export const streamKeySchema = z.string().regex(/^[0-9a-f]{16}$/);
const KEY_HEX_DIGITS = 16;

/** A stream as reported to other processes. */
export const originReportSchema = z.object({
    key: streamKeySchema,
    origin: knownOriginSchema,
    /** Remaining time until the stream is forgotten, in milliseconds. */
    leftMs: z.int().min(0).max(MAX_ORIGIN_RETENTION_MS),
});
export type OriginReport = z.infer<typeof originReportSchema>;

interface Entry {
    origin: KnownOrigin;
    /** Id of the upstream that began it; undefined if another router recorded it. */
    readonly upstreamId: string | undefined;
    readonly recordedAt: number;
    expiresAt: number;
}

/** `account`: undefined on public routes. Included so that no account can affect the streams of another. */
export function computeStreamKey(account: string | undefined, attemptId: string): string {
    const text = JSON.stringify([account ?? null, attemptId]);
    return createHash("sha256").update(text).digest("hex").slice(0, KEY_HEX_DIGITS);
}

export function isSameOrigin(a: KnownOrigin, b: KnownOrigin): boolean {
    return a === "ambiguous" || b === "ambiguous" ? a === b : a.service === b.service && a.version === b.version;
}

/** All times are on the monotonic clock, in milliseconds. */
export class StreamOrigins {
    /** By stream key, the oldest first. */
    private readonly entries = new Map<string, Entry>();

    constructor(private readonly maxEntries: number) {}

    getSize(): number {
        return this.entries.size;
    }

    /** Records the origin of a stream. A second, different origin makes it ambiguous. Returns whether anything is new. */
    record(key: string, origin: KnownOrigin, expiresAt: number, now: number, upstreamId?: string): boolean {
        const known = this.tryGetEntry(key, now);
        if (known !== undefined) {
            const isNew = !isSameOrigin(known.origin, origin) && known.origin !== "ambiguous";
            known.origin = isSameOrigin(known.origin, origin) ? known.origin : "ambiguous";
            known.expiresAt = Math.max(known.expiresAt, expiresAt);
            return isNew;
        }
        this.entries.delete(key);
        if (this.entries.size >= this.maxEntries) {
            this.entries.delete(this.entries.keys().next().value!);
        }
        this.entries.set(key, { origin, upstreamId, recordedAt: now, expiresAt });
        return true;
    }

    /** Returns undefined if the stream is unknown or has expired. */
    tryGet(key: string, now: number): KnownOrigin | undefined {
        return this.tryGetEntry(key, now)?.origin;
    }

    /** Makes the streams ambiguous that an upstream began after `since`. Returns their keys. */
    markAmbiguous(upstreamId: string, since: number): string[] {
        const marked: string[] = [];
        for (const [key, entry] of this.entries) {
            if (entry.upstreamId === upstreamId && entry.recordedAt >= since && entry.origin !== "ambiguous") {
                entry.origin = "ambiguous";
                marked.push(key);
            }
        }
        return marked;
    }

    /** Lists the keys of the streams whose origin is in one of the services, or ambiguous. */
    listKeys(isIncluded: (service: string) => boolean): string[] {
        return [...this.entries]
            .filter(([, { origin }]) => origin === "ambiguous" || isIncluded(origin.service))
            .map(([key]) => key);
    }

    /** Returns undefined if the stream is unknown or has expired. */
    tryCreateReport(key: string, now: number): OriginReport | undefined {
        const entry = this.tryGetEntry(key, now);
        return entry === undefined
            ? undefined
            : {
                key,
                origin: entry.origin,
                leftMs: Math.min(MAX_ORIGIN_RETENTION_MS, Math.ceil(entry.expiresAt - now)),
            };
    }

    evictExpired(now: number): void {
        for (const [key, { expiresAt }] of this.entries) {
            if (expiresAt <= now) {
                this.entries.delete(key);
            }
        }
    }

    private tryGetEntry(key: string, now: number): Entry | undefined {
        const entry = this.entries.get(key);
        return entry === undefined || entry.expiresAt <= now ? undefined : entry;
    }
}
