/** Tracks the upstream updates received from one controller and which upstreams that controller knows. */
import type { ChangeCursor, UpstreamUpdate } from "../../domain/upstreamChanges.js";

/** Time since a controller last heard from an upstream; an upper bound. */
export interface UpstreamReportAge {
    readonly id: string;
    readonly ageMs: number;
}

export class UpstreamUpdateTracker {
    private cursor: ChangeCursor | undefined;
    /** Ids of the upstreams that the controller knows; only for these does being absent from `unheard` mean recently heard. */
    private readonly knownIds = new Set<string>();

    /** `unheardMs`: time without a report after which the controller lists an upstream as unheard. */
    constructor(readonly unheardMs: number) {}

    /** Position of the last update; undefined before the first one. */
    tryGetCursor(): ChangeCursor | undefined {
        return this.cursor;
    }

    /** Applies an update. Returns when the controller last heard from each upstream that it knows. */
    applyUpdate({ cursor, isWhole, changed, unheard }: UpstreamUpdate): UpstreamReportAge[] {
        if (isWhole) {
            this.knownIds.clear();
        }
        this.cursor = cursor;
        for (const { registration } of changed) {
            if (registration.state === "gone") {
                this.knownIds.delete(registration.id);
            }
            else {
                this.knownIds.add(registration.id);
            }
        }
        const ages = new Map(unheard.map(({ id, ageMs }) => [id, ageMs]));
        return [...this.knownIds].map(id => ({ id, ageMs: ages.get(id) ?? this.unheardMs }));
    }
}
