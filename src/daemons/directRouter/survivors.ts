/** Remembers when requests with an attribute were last seen to survive. */
import type { ClearedAttribute } from "../../domain/upstreamEndCommands.js";
import type { SuspectEntry } from "../../protocol/fleetMethods.js";

/** A cleared attribute and the id of the request whose answer clears it. */
export interface SurvivorEvidence extends ClearedAttribute {
    readonly request: string;
}

interface LastSurvivor {
    /** Monotonic clock, milliseconds. */
    readonly at: number;
    readonly request: string;
}

export class Survivors {
    /** Keyed by attribute; the latest last. */
    private readonly lastSurvivors = new Map<string, LastSurvivor>();

    /** `maxAttributes`: the ones that have not survived for the longest time are forgotten. */
    constructor(private readonly maxAttributes: number) {}

    /** `request`: id of the request that survived. */
    record(attributes: readonly string[], request: string, now: number): void {
        for (const attribute of attributes) {
            this.lastSurvivors.delete(attribute);
            this.lastSurvivors.set(attribute, { at: now, request });
            if (this.lastSurvivors.size > this.maxAttributes) {
                this.lastSurvivors.delete(this.lastSurvivors.keys().next().value!);
            }
        }
    }

    /** Lists the attributes of a suspect of which a request survived after an end, with the last such end. */
    listCleared({ attributes = [], ends = [] }: SuspectEntry, receivedAt: number): SurvivorEvidence[] {
        return attributes.flatMap(attribute => {
            const survivor = this.lastSurvivors.get(attribute);
            if (survivor === undefined) {
                return [];
            }
            const before = ends.filter(({ agoMs }) => receivedAt - agoMs < survivor.at).map(({ index }) => index);
            return before.length === 0
                ? []
                : [{ attribute, upTo: Math.max(...before), request: survivor.request }];
        });
    }
}
