/**
 * The replicated record of the repeats that leaders have permitted. A permit is recorded before a router gets it, so a new
 * leader finds every permit that may still be used.
 */
import type { ReleaseRepeatPermitsCommand, ReserveRepeatPermitsCommand } from "./repeatPermitCommands.js";

export interface PermitReservation {
    /** Log index. */
    readonly index: number;
    readonly service: string;
    readonly permits: number;
}

export interface RepeatPermitSnapshot {
    readonly reservations: readonly PermitReservation[];
}

export interface PermitReservationResult {
    readonly type: "repeatPermits";
    /** False if the leader that reserved the permits leads no more, or too many are recorded. */
    readonly isAccepted: boolean;
}

/** Bounds the record if none is ever removed. */
const MAX_RESERVATIONS = 10_000;

export class RepeatPermitStore {
    /** By ascending index. */
    private reservations: readonly PermitReservation[] = [];

    /** `entryTerm`: of the log entry. */
    applyReserve(
        { service, permits, term }: ReserveRepeatPermitsCommand,
        index: number,
        entryTerm: number,
    ): PermitReservationResult {
        const isAccepted = term === entryTerm && this.reservations.length < MAX_RESERVATIONS;
        if (isAccepted) {
            this.reservations = [...this.reservations, { index, service, permits }];
        }
        return { type: "repeatPermits", isAccepted };
    }

    applyRelease({ upTo }: ReleaseRepeatPermitsCommand): PermitReservationResult {
        this.reservations = this.reservations.filter(({ index }) => index > upTo);
        return { type: "repeatPermits", isAccepted: true };
    }

    list(): readonly PermitReservation[] {
        return this.reservations;
    }

    createSnapshot(): RepeatPermitSnapshot {
        return { reservations: this.reservations };
    }

    loadSnapshot({ reservations }: RepeatPermitSnapshot): void {
        this.reservations = reservations;
    }
}
