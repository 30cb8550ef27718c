/**
 * A router's view of the evacuated availability zones: the newest list received from any controller, kept while none
 * can be reached.
 */
import type { EvacuationList } from "./evacuationStore.js";

export class EvacuatedZones {
    private index = 0;
    private zones: ReadonlySet<string> = new Set();
    /** When each zone was last restored to service. Monotonic clock, milliseconds. */
    private readonly restoredAt = new Map<string, number>();

    /** Records a list from a controller. Returns whether it is newer than the current one. */
    record(list: EvacuationList, now: number): boolean {
        if (list.index <= this.index) {
            return false;
        }
        const previousZones = this.zones;
        this.index = list.index;
        this.zones = new Set(list.zones);
        this.zones.forEach(zone => this.restoredAt.delete(zone));
        [...previousZones].filter(zone => !this.zones.has(zone)).forEach(zone => this.restoredAt.set(zone, now));
        return true;
    }

    isEvacuated(zone: string): boolean {
        return this.zones.has(zone);
    }

    /**
     * Returns when a zone was restored to service; -Infinity if it is not known to have been evacuated. Monotonic
     * clock.
     */
    getRestoredAt(zone: string): number {
        return this.restoredAt.get(zone) ?? -Infinity;
    }

    list(): string[] {
        return [...this.zones];
    }
}
