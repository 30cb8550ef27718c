/** The newest list from the controllers of what the requests that ended upstreams have in common. */
import { isSubset } from "../../domain/crashEvidence.js";
import { createContentAttribute, isContentAttribute } from "../../domain/requestAttributes.js";
import type { SuspectList } from "../../protocol/fleetMethods.js";

/** A quarantine that blocks a request. */
export interface Quarantine {
    /** The requests that have all of these attributes are blocked. */
    readonly attributes: readonly string[];
    /** In milliseconds. */
    readonly remainingMs: number;
}

interface KnownCulprit {
    readonly attributes: readonly string[];
    /** Monotonic clock, milliseconds. */
    readonly expiresAt: number;
}

/**
 * A block lasts up to this much longer at some routers, so that the first request that is tried again can tell whether the
 * others may be.
 */
const MAX_EXTENSION_FRACTION = 0.5;

export class KnownSuspects {
    private readonly extensionFactor: number;
    private index = -1;
    /** Attributes of all suspects, culprits included. */
    private attributes: ReadonlySet<string> = new Set();
    private culprits: readonly KnownCulprit[] = [];
    private hasContent = false;

    /** `random`: in [0, 1), drawn once for each router. */
    constructor(random: number) {
        this.extensionFactor = 1 + random * MAX_EXTENSION_FRACTION;
    }

    /** Replaces the list if the new one has a higher index. */
    update({ index, suspects }: SuspectList, now: number): void {
        if (index <= this.index) {
            return;
        }
        const known = suspects.map(({ fingerprint, attributes, isCulprit, leftMs }) => ({
            attributes: attributes ?? [createContentAttribute(fingerprint)],
            isCulprit,
            expiresAt: now + leftMs * this.extensionFactor,
        }));
        this.index = index;
        this.attributes = new Set(known.flatMap(({ attributes }) => attributes));
        this.culprits = known.filter(({ isCulprit }) => isCulprit);
        this.hasContent = [...this.attributes].some(isContentAttribute);
    }

    /** Log index of the newest end that the list takes into account; -1 before the first list. */
    getIndex(): number {
        return this.index;
    }

    isEmpty(): boolean {
        return this.attributes.size === 0;
    }

    /** Whether the content of requests matters, which spares computing their fingerprints otherwise. */
    hasContentAttributes(): boolean {
        return this.hasContent;
    }

    /** Selects the attributes that are suspect. */
    filterSuspect(attributes: readonly string[]): string[] {
        return attributes.filter(attribute => this.attributes.has(attribute));
    }

    /** Returns the quarantine of a request with these attributes, the longest if there are several; undefined if it may run. */
    tryGetQuarantine(attributes: readonly string[], now: number): Quarantine | undefined {
        const matching = this.culprits.filter(culprit =>
            now < culprit.expiresAt && isSubset(culprit.attributes, attributes)
        );
        const last = matching.sort((a, b) => a.expiresAt - b.expiresAt).at(-1);
        return last && { attributes: last.attributes, remainingMs: last.expiresAt - now };
    }
}
