/**
 * The replicated state of evacuations: the availability zones whose upstreams receive no new work. A duplicate of a
 * command may arrive after a newer command for the same zone; each command names the state that it was based on.
 */
import type { SetEvacuationCommand } from "./evacuationCommands.js";

/** Result of a command. */
export interface EvacuationResult {
    readonly type: "evacuation";
    /**
     * `done`: the zone is in the requested state, possibly already before. `overtaken`: the zone has changed since the
     * state that the command was based on. `full`: the maximum number of zones is reached.
     */
    readonly outcome: "done" | "overtaken" | "full";
}

/** The evacuated zones, as sent to routers. */
export interface EvacuationList {
    /** Log index of the last change; 0 before the first. A list with a higher index replaces one with a lower index. */
    readonly index: number;
    readonly zones: readonly string[];
}

/** A zone that has been evacuated at some time. */
interface ZoneState {
    readonly zone: string;
    readonly isEvacuated: boolean;
    /** Number of changes so far. */
    readonly changes: number;
}

export interface EvacuationSnapshot {
    readonly index: number;
    readonly zones: readonly ZoneState[];
}

/** Maximum number of zones, so that invalid names cannot exhaust memory. Deployments have three to five. */
const MAX_ZONES = 256;

export class EvacuationStore {
    private readonly zones = new Map<string, ZoneState>();
    private index = 0;

    applySet({ zone, isEvacuated, expectedChanges }: SetEvacuationCommand, index: number): EvacuationResult {
        const current = this.get(zone);
        if (current.isEvacuated === isEvacuated) {
            return { type: "evacuation", outcome: "done" };
        }
        if (current.changes !== expectedChanges) {
            return { type: "evacuation", outcome: "overtaken" };
        }
        if (current.changes === 0 && this.zones.size >= MAX_ZONES) {
            return { type: "evacuation", outcome: "full" };
        }
        this.zones.set(zone, { zone, isEvacuated, changes: current.changes + 1 });
        this.index = index;
        return { type: "evacuation", outcome: "done" };
    }

    /** Returns a zone's state; a zone without commands is in service. */
    get(zone: string): ZoneState {
        return this.zones.get(zone) ?? { zone, isEvacuated: false, changes: 0 };
    }

    createList(): EvacuationList {
        const evacuated = [...this.zones.values()].filter(({ isEvacuated }) => isEvacuated);
        return { index: this.index, zones: evacuated.map(({ zone }) => zone) };
    }

    createSnapshot(): EvacuationSnapshot {
        return { index: this.index, zones: [...this.zones.values()] };
    }

    loadSnapshot({ index, zones }: EvacuationSnapshot): void {
        this.index = index;
        this.zones.clear();
        zones.forEach(state => this.zones.set(state.zone, state));
    }
}
