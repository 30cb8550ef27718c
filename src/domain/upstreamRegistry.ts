/** The upstreams that have registered themselves, as one process knows them. Reports come late and out of order. */

/** What an upstream says of itself. */
export interface UpstreamRegistration {
    /** New at each start of the upstream. */
    readonly id: string;
    readonly service: string;
    /** HOST:PORT; may belong to another upstream later. */
    readonly address: string;
    readonly zone: string;
    /** Requests that it works on at once. */
    readonly slots: number;
    /** `leaving`: it takes no new work. `gone`: it will not come back under this id. */
    readonly state: "ready" | "leaving" | "gone";
    /** Rises with each report of one upstream. */
    readonly sequence: number;
}

/** A registration and how long ago it was heard. */
export interface HeardRegistration {
    readonly registration: UpstreamRegistration;
    readonly ageMs: number;
}

interface Entry {
    registration: UpstreamRegistration;
    /** Monotonic clock, milliseconds. */
    heardAt: number;
}

/** How long an upstream that is gone is remembered, so that a late report does not bring it back. Milliseconds. */
const KEEP_GONE_MS = 60_000;
/** How long one that says nothing is remembered: longer than any cut between it and the controllers. Milliseconds. */
const KEEP_SILENT_MS = 600_000;
/**
 * How long the holder of an address keeps it against one that was known before, in milliseconds: reports come every second
 * or so, so one that is silent for longer has probably ended.
 */
const HOLD_ADDRESS_MS = 3_000;

export class UpstreamRegistry {
    private readonly entries = new Map<string, Entry>();
    /** Which upstream is at an address: one that has ended may still be heard of after another has taken its place. */
    private readonly holders = new Map<string, string>();

    /**
     * Takes a report that was heard at `heardAt`. Answers what it changed: `state` where routing is affected, `beat`
     * where it only shows that the upstream lives, undefined where it is older than what is known.
     */
    record(registration: UpstreamRegistration, heardAt: number): "state" | "beat" | undefined {
        const known = this.entries.get(registration.id);
        if (known === undefined) {
            this.entries.set(registration.id, { registration, heardAt });
            this.tryTakeAddress(registration, heardAt, 0);
            return "state";
        }
        if (known.registration.state === "gone") {
            return undefined;
        }
        if (registration.state !== "gone" && registration.sequence <= known.registration.sequence) {
            return undefined;
        }
        const changed = known.registration.state !== registration.state
            || known.registration.address !== registration.address
            || known.registration.slots !== registration.slots;
        known.registration = registration;
        known.heardAt = Math.max(known.heardAt, heardAt);
        const hasTakenAddress = this.tryTakeAddress(registration, heardAt, HOLD_ADDRESS_MS);
        return changed || hasTakenAddress ? "state" : "beat";
    }

    /** Gives an upstream its address where the holder has been silent for `silentMs` or longer. */
    private tryTakeAddress({ id, address, state }: UpstreamRegistration, heardAt: number, silentMs: number): boolean {
        const holder = this.holders.get(address);
        if (holder === id || state === "gone") {
            return false;
        }
        const holderHeardAt = holder === undefined ? undefined : this.entries.get(holder)?.heardAt;
        if (holderHeardAt !== undefined && heardAt - holderHeardAt < silentMs) {
            return false;
        }
        this.holders.set(address, id);
        return true;
    }

    /** Marks an upstream as gone; answers the registration to tell others, if it was known. */
    recordGone(id: string, heardAt: number): UpstreamRegistration {
        const known = this.entries.get(id)?.registration;
        const gone: UpstreamRegistration = {
            id,
            service: known?.service ?? "",
            address: known?.address ?? "",
            zone: known?.zone ?? "",
            slots: known?.slots ?? 0,
            state: "gone",
            sequence: known?.sequence ?? 0,
        };
        this.record(gone, heardAt);
        return gone;
    }

    /** Forgets what has long been gone or silent. */
    forgetOld(now: number): void {
        for (const [id, { registration, heardAt }] of this.entries) {
            const keepMs = registration.state === "gone" ? KEEP_GONE_MS : KEEP_SILENT_MS;
            if (now - heardAt > keepMs) {
                this.entries.delete(id);
                if (this.holders.get(registration.address) === id) {
                    this.holders.delete(registration.address);
                }
            }
        }
    }

    /** Everything known, with its age at `now`. */
    list(now: number): HeardRegistration[] {
        return [...this.entries.values()].map(({ registration, heardAt }) => ({
            registration,
            ageMs: Math.max(0, Math.round(now - heardAt)),
        }));
    }

    /** The upstreams of a service that hold their address, take new work and were heard within `maxAgeMs`. */
    getReady(service: string, now: number, maxAgeMs: number): UpstreamRegistration[] {
        const ready: UpstreamRegistration[] = [];
        for (const { registration, heardAt } of this.entries.values()) {
            const isReady = registration.service === service && registration.state === "ready";
            const isHolder = this.holders.get(registration.address) === registration.id;
            if (isReady && isHolder && now - heardAt <= maxAgeMs) {
                ready.push(registration);
            }
        }
        return ready;
    }

    /** What an upstream last said of itself, also where it is gone. */
    tryGet(id: string): UpstreamRegistration | undefined {
        return this.entries.get(id)?.registration;
    }
}
