/** The newest list from the controllers of requests suspected of crashing upstreams. */
import type { SuspectEntry, SuspectList } from "../../protocol/fleetMethods.js";

interface KnownSuspect extends SuspectEntry {
    /** Monotonic clock, milliseconds. */
    readonly expiresAt: number;
}

export class KnownSuspects {
    private index = -1;
    private suspects = new Map<string, KnownSuspect>();

    /** Replaces the list if the new one has a higher index. */
    update({ index, suspects }: SuspectList, now: number): void {
        if (index > this.index) {
            this.index = index;
            this.suspects = new Map(
                suspects.map(suspect => [suspect.fingerprint, { ...suspect, expiresAt: now + suspect.leftMs }]),
            );
        }
    }

    /** Lets callers skip computing a fingerprint when no request is suspect. */
    isEmpty(): boolean {
        return this.suspects.size === 0;
    }

    /** Whether a complete response to the request should be reported. */
    isSuspect(fingerprint: string): boolean {
        return this.suspects.has(fingerprint);
    }

    /** Remaining quarantine of a request, in milliseconds; undefined if it may run. */
    tryGetRemainingMs(fingerprint: string, now: number): number | undefined {
        const suspect = this.suspects.get(fingerprint);
        return suspect?.isCulprit === true && now < suspect.expiresAt ? suspect.expiresAt - now : undefined;
    }
}
