/**
 * Bounds the memory that a router uses for the bodies of callers' requests, which are kept until the requests end so that
 * they can be sent again. All sizes are in bytes, all times of the monotonic clock in milliseconds.
 */
import * as z from "zod";
import { createRefusal, type Refusal, RefusalError } from "./resultCodes.js";

/** The bound must at least hold the bodies of a few requests; below this a router refuses most of an ordinary load. */
const MIN_MAX_BYTES = 1_000_000;

const bodyMemorySettings = z.object({
    /**
     * Bodies of all requests together. A request is admitted while fewer bytes are held, whatever its size, so that large
     * requests are not refused in favour of small ones; the last one admitted may exceed the bound.
     */
    maxBytes: z.int().min(MIN_MAX_BYTES),
    /** Bodies of the requests that wait for the answer of one upstream. One that does not read leaves memory for the others. */
    maxUpstreamBytes: z.int().min(1),
}).refine(({ maxBytes, maxUpstreamBytes }) => maxUpstreamBytes <= maxBytes, {
    path: ["maxUpstreamBytes"],
    message: "must not exceed maxBytes",
});

export type BodyMemoryOptions = z.infer<typeof bodyMemorySettings>;

/** Throws settingsInvalid with the name of the setting and its bound. */
export function checkBodyMemoryOptions(options: BodyMemoryOptions): BodyMemoryOptions {
    const parsed = bodyMemorySettings.safeParse(options);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        throw new RefusalError(
            createRefusal("settingsInvalid", `bodyMemory.${issue.path.join(".")}: ${issue.message}`),
        );
    }
    return parsed.data;
}

/**
 * While memory is short, a caller that has sent nothing of its body for this long gives way to others: a link that fails
 * without a reset would otherwise hold its memory until the request times out after 30 s. Callers retry within 1.2 s.
 */
const STALL_TIMEOUT_MS = 2_000;
/** Retry-After of refused requests is drawn from this range, so that retries are spread out. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 1_200;

/** The memory of one body. */
export class BodyReservation {
    private isComplete = false;
    private isReleased = false;
    private activeAt: number;

    /** `bytes`: the declared length of the body; 0 if none is declared. `onEvict`: the memory was given to others. */
    constructor(
        private readonly memory: BodyMemory,
        private bytes: number,
        now: number,
        private readonly onEvict: () => void,
    ) {
        this.activeAt = now;
    }

    /** Records that a part of the body has arrived, and that holding all of it takes `heldBytes`. Returns false if that exceeds what may be held. */
    tryRecordHeld(heldBytes: number, now: number): boolean {
        this.activeAt = now;
        const extraBytes = heldBytes - this.bytes;
        if (extraBytes <= 0 || this.isReleased) {
            return !this.isReleased;
        }
        if (!this.memory.tryAdd(extraBytes, now)) {
            return false;
        }
        this.bytes = heldBytes;
        return true;
    }

    /** Records that the whole body has arrived. */
    finish(): void {
        this.isComplete = true;
        this.memory.remove(this, 0);
    }

    /** Releases the memory. May be called more than once. */
    release(): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.memory.remove(this, this.bytes);
        }
    }

    /** Releases the memory if the caller has stalled. */
    evictIfStalled(now: number): void {
        if (!this.isComplete && now - this.activeAt > STALL_TIMEOUT_MS) {
            this.release();
            this.onEvict();
        }
    }
}

export class BodyMemory {
    private heldBytes = 0;
    /** Reservations of bodies that have not arrived completely; at most one for each connection. */
    private readonly incomplete = new Set<BodyReservation>();
    /** Bodies of requests that wait for an upstream, by its id; without entries of 0 bytes. */
    private readonly waitingBytes = new Map<string, number>();

    /** `random` returns a number in [0, 1). */
    constructor(private readonly options: BodyMemoryOptions, private readonly random: () => number) {}

    getHeldBytes(): number {
        return this.heldBytes;
    }

    /**
     * Reserves memory for a body of a declared length, or 0 if none is declared; undefined if there is none at present. A
     * request without a body is always admitted.
     */
    tryReserve(bytes: number, now: number, onEvict: () => void): BodyReservation | undefined {
        if (!this.tryAdd(bytes, now)) {
            return undefined;
        }
        const reservation = new BodyReservation(this, bytes, now, onEvict);
        this.incomplete.add(reservation);
        return reservation;
    }

    createRefusal(detail?: string): Refusal {
        const retryAfterMs = MIN_RETRY_AFTER_MS + this.random() * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS);
        return createRefusal("bodyMemoryFull", detail, "no", Math.round(retryAfterMs));
    }

    /** Adds to what is held; for `BodyReservation`. */
    tryAdd(bytes: number, now: number): boolean {
        if (bytes > 0 && this.heldBytes >= this.options.maxBytes) {
            [...this.incomplete].forEach(reservation => reservation.evictIfStalled(now));
            if (this.heldBytes >= this.options.maxBytes) {
                return false;
            }
        }
        this.heldBytes += bytes;
        return true;
    }

    /** Subtracts from what is held, and excludes the reservation from eviction; for `BodyReservation`. */
    remove(reservation: BodyReservation, bytes: number): void {
        this.incomplete.delete(reservation);
        this.heldBytes -= bytes;
    }

    /** Whether a request may be sent to an upstream: it does not hold up too much memory by bodies that it may not read. */
    allowsUpstream(upstream: string): boolean {
        return (this.waitingBytes.get(upstream) ?? 0) < this.options.maxUpstreamBytes;
    }

    /** Records a request that waits for an upstream. Returns a function that ends the wait and may be called repeatedly. */
    recordWaiting(upstream: string, bytes: number): () => void {
        this.addWaiting(upstream, bytes);
        let isWaiting = true;
        return () => {
            if (isWaiting) {
                isWaiting = false;
                this.addWaiting(upstream, -bytes);
            }
        };
    }

    private addWaiting(upstream: string, bytes: number): void {
        const sum = (this.waitingBytes.get(upstream) ?? 0) + bytes;
        if (sum === 0) {
            this.waitingBytes.delete(upstream);
        }
        else {
            this.waitingBytes.set(upstream, sum);
        }
    }
}
