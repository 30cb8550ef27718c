/** The requests that upstreams ended under, as the controllers told last. */
import type { SuspectList, ToldSuspect } from "../../protocol/fleetMethods.js";

interface KnownSuspect extends ToldSuspect {
    /** Until when it is held against it. Monotonic clock, milliseconds. */
    readonly until: number;
}

export class KnownSuspects {
    private index = -1;
    private suspects = new Map<string, KnownSuspect>();

    /** Takes what a controller tells; one that is behind another changes nothing. */
    receive({ index, suspects }: SuspectList, now: number): void {
        if (index > this.index) {
            this.index = index;
            this.suspects = new Map(
                suspects.map(suspect => [suspect.fingerprint, { ...suspect, until: now + suspect.leftMs }]),
            );
        }
    }

    /** Whether nothing is held against any request, so that none needs to be named by what it asks. */
    isEmpty(): boolean {
        return this.suspects.size === 0;
    }

    /** Whether a whole answer to the request is worth telling. */
    isSuspect(fingerprint: string): boolean {
        return this.suspects.has(fingerprint);
    }

    /** How much longer a request is not run, in milliseconds; undefined where it may run. */
    tryGetLeftMs(fingerprint: string, now: number): number | undefined {
        const suspect = this.suspects.get(fingerprint);
        return suspect?.isCulprit === true && now < suspect.until ? suspect.until - now : undefined;
    }
}
