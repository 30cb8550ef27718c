/**
 * What a router believes of evacuated availability zones. It goes by the newest change that any controller told, and by
 * what it last knew where no controller is heard.
 */
import type { EvacuationList } from "./evacuationBook.js";

export class EvacuatedZones {
    private index = 0;
    private zones: ReadonlySet<string> = new Set();
    /** When each zone was heard to be back in service. Monotonic clock, milliseconds. */
    private readonly returnedAt = new Map<string, number>();

    /** Takes what a controller tells. Answers whether it is news. */
    record(list: EvacuationList, now: number): boolean {
        if (list.index <= this.index) {
            return false;
        }
        const before = this.zones;
        this.index = list.index;
        this.zones = new Set(list.zones);
        this.zones.forEach(zone => this.returnedAt.delete(zone));
        [...before].filter(zone => !this.zones.has(zone)).forEach(zone => this.returnedAt.set(zone, now));
        return true;
    }

    isEvacuated(zone: string): boolean {
        return this.zones.has(zone);
    }

    /** When a zone came back into service; -Infinity where it was not evacuated as far as is known. Monotonic clock. */
    getReturnedAt(zone: string): number {
        return this.returnedAt.get(zone) ?? -Infinity;
    }

    list(): string[] {
        return [...this.zones];
    }
}
