/**
 * The replicated state of evacuations: from which availability zones the upstreams get no new work. A copy of an order
 * may come late, after a newer order about the same zone; each order names the state that it was given in.
 */
import type { SetEvacuationCommand } from "./evacuationCommands.js";

/** What an order came to. */
export interface EvacuationResult {
    readonly type: "evacuation";
    /** `done`: as ordered, also where it was so before. `overtaken`: another order came between. `full`: no more zones. */
    readonly outcome: "done" | "overtaken" | "full";
}

/** The evacuated zones, as routers are told. */
export interface EvacuationList {
    /** Index in the log of the newest change; 0 before the first. A list with a higher one replaces this one. */
    readonly index: number;
    readonly zones: readonly string[];
}

/** One zone that was ever evacuated. */
interface ZoneState {
    readonly zone: string;
    readonly isEvacuated: boolean;
    /** Counts the changes. */
    readonly changes: number;
}

/** What a snapshot keeps. */
export interface EvacuationSnapshot {
    readonly index: number;
    readonly zones: readonly ZoneState[];
}

/** Zones that are remembered, so that made-up names cannot fill the memory; deployments have three to five. */
const MOST_ZONES = 256;

export class EvacuationBook {
    private readonly zones = new Map<string, ZoneState>();
    private index = 0;

    applySet({ zone, isEvacuated, expectedChanges }: SetEvacuationCommand, index: number): EvacuationResult {
        const known = this.get(zone);
        if (known.isEvacuated === isEvacuated) {
            return { type: "evacuation", outcome: "done" };
        }
        if (known.changes !== expectedChanges) {
            return { type: "evacuation", outcome: "overtaken" };
        }
        if (known.changes === 0 && this.zones.size >= MOST_ZONES) {
            return { type: "evacuation", outcome: "full" };
        }
        this.zones.set(zone, { zone, isEvacuated, changes: known.changes + 1 });
        this.index = index;
        return { type: "evacuation", outcome: "done" };
    }

    /** A zone's state; one that no order has named is in service. */
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
