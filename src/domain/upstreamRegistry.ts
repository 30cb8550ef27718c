/**
 * The upstreams that have registered themselves, as one process knows them. Reports come late and out of order, and an
 * upstream may start again under its id: then it counts its reports anew and knows nothing of before. Without telling its
 * lives apart it would be out of service until its count has passed the old one, or for as long as its end is remembered.
 */

/** What an upstream says of itself. */
export interface UpstreamRegistration {
    readonly id: string;
    /**
     * When this life of the upstream began, by its own clock, in milliseconds since 1970. Undefined where it is not told:
     * then a report belongs to the life that is known.
     */
    readonly bornAt?: number | undefined;
    readonly service: string;
    /** HOST:PORT; may belong to another upstream later. */
    readonly address: string;
    readonly zone: string;
    /** Requests that it works on at once. */
    readonly slots: number;
    /** `leaving`: it takes no new work. `gone`: this life of it will not come back. */
    readonly state: "ready" | "leaving" | "gone";
    /** Rises with each report of one life. */
    readonly sequence: number;
    /** How much longer it stays cold, in milliseconds: it bears few requests for some seconds after a start. */
    readonly coldLeftMs?: number | undefined;
    /**
     * Of one that is gone: the end may have been an earlier life's, which came late, since it named no life; a newer report
     * of this life shows that it goes on.
     */
    readonly mayReturn?: boolean | undefined;
    /** It said in an answer that it leaves; its reports, which come late or not at all, may call it ready long after that. */
    readonly isLeavingSaid?: boolean | undefined;
    /** Of one that is gone: another upstream was met at its address, whatever it has reported until then. */
    readonly isReplaced?: boolean | undefined;
}

/** What an upstream last said of the requests that it takes from all routers together. */
export interface HeardLimit {
    /** Requests a second; undefined where it named no limit any more. */
    readonly perSecond?: number | undefined;
    readonly ageMs: number;
}

/** A registration and how long ago it was heard. */
export interface HeardRegistration {
    readonly registration: UpstreamRegistration;
    readonly ageMs: number;
    /** Left out where the upstream has never named a limit in this life. */
    readonly limit?: HeardLimit | undefined;
}

/** One life of an upstream. */
export type UpstreamLife = Pick<UpstreamRegistration, "id" | "bornAt">;

/** Names one life of an upstream among all of all upstreams: what is believed of an upstream ends with its life. */
export function getLifeKey({ id, bornAt }: UpstreamLife): string {
    return bornAt === undefined ? id : `${id}@${bornAt}`;
}

/** Times on the monotonic clock, milliseconds. */
interface Entry {
    registration: UpstreamRegistration;
    heardAt: number;
    /** Until when it is cold by its own word; undefined where it says nothing of it. */
    coldUntil: number | undefined;
    /** When its life was first heard of. */
    readonly lifeHeardAt: number;
    /** The id has had an earlier life. */
    readonly hasEarlierLife: boolean;
    /** Requests a second that it takes from all routers together; undefined where it names no limit. */
    limitPerSecond: number | undefined;
    /** When it last said whether it has a limit; -Infinity where it has never named one. */
    limitSaidAt: number;
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
/** A limit counts as another one from this part of change on: one that falls and rises all the time is not told each time. */
const LEAST_LIMIT_CHANGE = 0.1;
/** By how much longer an upstream has to be cold than it said before for routers to be told: its reports come late. Milliseconds. */
const LEAST_COLDER_MS = 500;
/** How late a message of an upstream may come, in milliseconds: cuts hold messages back for up to 9 s. */
const MOST_LATE_MS = 10_000;

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
        if (known === undefined || isLaterLife(registration, known, heardAt)) {
            const hasEarlierLife = known !== undefined;
            const coldUntil = tryGetColdUntil(registration, heardAt);
            this.entries.set(registration.id, {
                registration,
                heardAt,
                coldUntil,
                lifeHeardAt: heardAt,
                hasEarlierLife,
                limitPerSecond: undefined,
                limitSaidAt: -Infinity,
            });
            this.tryTakeAddress(registration, heardAt, 0);
            return "state";
        }
        if (isEarlierLife(registration, known.registration)) {
            return undefined;
        }
        return this.recordSameLife(known, registration, heardAt);
    }

    private recordSameLife(known: Entry, told: UpstreamRegistration, heardAt: number): "state" | "beat" | undefined {
        if (!isNews(told, known.registration)) {
            return undefined;
        }
        const registration = mergeReports(told, known.registration);
        const changed = known.registration.state !== registration.state
            || known.registration.address !== registration.address
            || known.registration.slots !== registration.slots
            || hasTurnedCold(registration, known, heardAt);
        known.registration = registration;
        known.heardAt = Math.max(known.heardAt, heardAt);
        known.coldUntil = tryGetColdUntil(registration, heardAt);
        const hasTakenAddress = this.tryTakeAddress(registration, heardAt, HOLD_ADDRESS_MS);
        return changed || hasTakenAddress ? "state" : "beat";
    }

    /** Gives an upstream its address where the holder has been silent for `silentMs` or longer. */
    private tryTakeAddress({ id, address, state }: UpstreamRegistration, heardAt: number, silentMs: number): boolean {
        const holder = this.holders.get(address);
        if (holder === id || state === "gone") {
            return false;
        }
        const held = holder === undefined ? undefined : this.entries.get(holder);
        const isHeld = held !== undefined && held.registration.state !== "gone";
        if (isHeld && heardAt - held.heardAt < silentMs) {
            return false;
        }
        this.holders.set(address, id);
        return true;
    }

    /**
     * Marks an upstream as gone; answers the registration to tell others, undefined where an earlier life's end came late.
     * `bornAt`: the life that has ended; undefined where it is not told.
     */
    recordGone(id: string, heardAt: number, bornAt?: number): UpstreamRegistration | undefined {
        const entry = this.entries.get(id);
        const known = entry?.registration;
        const gone: UpstreamRegistration = {
            id,
            bornAt: bornAt ?? known?.bornAt,
            service: known?.service ?? "",
            address: known?.address ?? "",
            zone: known?.zone ?? "",
            slots: known?.slots ?? 0,
            state: "gone",
            sequence: known?.sequence ?? 0,
            mayReturn: bornAt === undefined && entry !== undefined && isEndDoubtful(entry, heardAt),
        };
        return this.record(gone, heardAt) === undefined && known?.state !== "gone" ? undefined : gone;
    }

    /**
     * Notes that a controller heard an upstream at `heardAt`, whose report changed nothing. An upstream whose address was taken
     * by one that is silent since has it again.
     */
    noteHeard(id: string, heardAt: number): void {
        const entry = this.entries.get(id);
        if (entry !== undefined && entry.registration.state !== "gone") {
            entry.heardAt = Math.max(entry.heardAt, heardAt);
            this.tryTakeAddress(entry.registration, entry.heardAt, HOLD_ADDRESS_MS);
        }
    }

    /** Forgets what has long been gone or silent. Answers whether any of it was not known to be gone. */
    forgetOld(now: number): boolean {
        let hasForgottenSilent = false;
        for (const [id, { registration, heardAt }] of this.entries) {
            const keepMs = registration.state === "gone" ? KEEP_GONE_MS : KEEP_SILENT_MS;
            if (now - heardAt > keepMs) {
                this.entries.delete(id);
                hasForgottenSilent ||= registration.state !== "gone";
                if (this.holders.get(registration.address) === id) {
                    this.holders.delete(registration.address);
                }
            }
        }
        return hasForgottenSilent;
    }

    /** Everything known, with its age at `now`. */
    list(now: number): HeardRegistration[] {
        return [...this.entries.values()].map(entry => createHeard(entry, now));
    }

    /** What is known of an upstream, with its age at `now`; undefined where it is forgotten, or another life has begun. */
    tryGetHeard(life: UpstreamLife, now: number): HeardRegistration | undefined {
        const entry = this.tryGetEntry(life);
        return entry === undefined ? undefined : createHeard(entry, now);
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

    /**
     * Marks a life of an upstream as over because another upstream was met at its address; only a report of it that is newer
     * than all that were heard shows that it goes on. Answers the registration to tell others, undefined where it was known
     * to be over.
     */
    recordReplaced(registration: UpstreamRegistration, heardAt: number): UpstreamRegistration | undefined {
        const gone: UpstreamRegistration = {
            ...this.getNewest(registration),
            state: "gone",
            mayReturn: true,
            isReplaced: true,
        };
        return this.record(gone, heardAt) === "state" ? gone : undefined;
    }

    /**
     * Until when an upstream is cold. Where it does not say, for `coldStartMs` from when its life was first heard of.
     * Monotonic clock.
     */
    getColdUntil({ id }: UpstreamRegistration, coldStartMs: number): number {
        const entry = this.entries.get(id);
        return entry === undefined ? -Infinity : entry.coldUntil ?? entry.lifeHeardAt + coldStartMs;
    }

    /**
     * Takes what an upstream said at `saidAt` of its limit. Answers whether that is another limit than was known; what was
     * said earlier than what is known is left alone.
     */
    recordLimit(life: UpstreamLife, perSecond: number | undefined, saidAt: number): boolean {
        const entry = this.tryGetEntry(life);
        if (entry === undefined || saidAt < entry.limitSaidAt) {
            return false;
        }
        entry.limitSaidAt = saidAt;
        if (!isOtherLimit(perSecond, entry.limitPerSecond)) {
            return false;
        }
        entry.limitPerSecond = perSecond;
        return true;
    }

    /** Requests a second that an upstream takes from all routers together; undefined where it names no limit. */
    tryGetLimit(life: UpstreamLife): number | undefined {
        return this.tryGetEntry(life)?.limitPerSecond;
    }

    /** Upstreams that name a limit and are not gone. */
    countLimited(): number {
        const entries = [...this.entries.values()];
        return entries.filter(entry => entry.limitPerSecond !== undefined && entry.registration.state !== "gone")
            .length;
    }

    /** Upstreams that leave, by their reports or by an answer. */
    countLeaving(): number {
        return [...this.entries.values()].filter(({ registration }) => registration.state === "leaving").length;
    }

    /** When an upstream last said whether it has a limit; -Infinity where it has never named one. Monotonic clock. */
    getLimitSaidAt(life: UpstreamLife): number {
        return this.tryGetEntry(life)?.limitSaidAt ?? -Infinity;
    }

    /** Notes that an upstream said in an answer that it leaves. Answers whether that is news. */
    recordLeaving(life: UpstreamLife, heardAt: number): boolean {
        const known = this.tryGetEntry(life)?.registration;
        return known !== undefined && known.state !== "gone"
            && this.record({ ...known, isLeavingSaid: true }, heardAt) === "state";
    }

    /** What is known now of the same life of an upstream; `registration` itself where that is forgotten, or another has begun. */
    getNewest(registration: UpstreamRegistration): UpstreamRegistration {
        return this.tryGetEntry(registration)?.registration ?? registration;
    }

    /** Undefined where the life is forgotten, or another has begun. */
    private tryGetEntry(life: UpstreamLife): Entry | undefined {
        const entry = this.entries.get(life.id);
        return entry !== undefined && entry.registration.bornAt === life.bornAt ? entry : undefined;
    }

    /** What an upstream last said of itself, also where it is gone. */
    tryGet(id: string): UpstreamRegistration | undefined {
        return this.entries.get(id)?.registration;
    }
}

function createHeard({ registration, heardAt, limitPerSecond, limitSaidAt }: Entry, now: number): HeardRegistration {
    const countAge = (at: number) => Math.max(0, Math.round(now - at));
    const heard = { registration, ageMs: countAge(heardAt) };
    return limitSaidAt === -Infinity
        ? heard
        : { ...heard, limit: { perSecond: limitPerSecond, ageMs: countAge(limitSaidAt) } };
}

function isOtherLimit(told: number | undefined, known: number | undefined): boolean {
    return told === undefined || known === undefined
        ? told !== known
        : Math.abs(told - known) > LEAST_LIMIT_CHANGE * Math.max(told, known);
}

/** Until when an upstream is cold by its own word of `heardAt`; undefined where it says nothing of it. */
function tryGetColdUntil({ coldLeftMs }: UpstreamRegistration, heardAt: number): number | undefined {
    return coldLeftMs === undefined ? undefined : heardAt + coldLeftMs;
}

/** Whether a report says that an upstream has become cold, or cold again. */
function hasTurnedCold(told: UpstreamRegistration, { coldUntil = -Infinity }: Entry, heardAt: number): boolean {
    const toldMs = told.coldLeftMs ?? 0;
    return toldMs > 0 && heardAt + toldMs > coldUntil + LEAST_COLDER_MS;
}

/** Whether a report is of a life after the one that is known. */
function isLaterLife(told: UpstreamRegistration, known: Entry, heardAt: number): boolean {
    const { bornAt, state } = known.registration;
    if (told.bornAt === undefined || bornAt === undefined || told.bornAt === bornAt) {
        return false;
    }
    // A box may have its clock set back between two lives; the one that is still heard when nothing late can come is newer.
    return told.bornAt > bornAt || (state !== "gone" && heardAt - known.heardAt > MOST_LATE_MS);
}

function isEarlierLife(told: UpstreamRegistration, known: UpstreamRegistration): boolean {
    return told.bornAt !== undefined && known.bornAt !== undefined && told.bornAt < known.bornAt;
}

/** What is known of a life after one more report of it. */
function mergeReports(told: UpstreamRegistration, known: UpstreamRegistration): UpstreamRegistration {
    const isLeavingSaid = told.isLeavingSaid === true || known.isLeavingSaid === true;
    // What a router tells of an answer may come with a report that is older than the known one.
    const newest = told.state !== "gone" && told.sequence < known.sequence ? known : told;
    return {
        ...newest,
        bornAt: told.bornAt ?? known.bornAt,
        sequence: Math.max(told.sequence, known.sequence),
        ...(isLeavingSaid ? { isLeavingSaid, state: newest.state === "gone" ? "gone" : "leaving" } : {}),
    };
}

/** Whether a report says something new of the life that is known. The end of a life needs no newer number. */
function isNews(told: UpstreamRegistration, known: UpstreamRegistration): boolean {
    if (known.state === "gone") {
        return known.mayReturn === true && told.state !== "gone" && told.sequence > known.sequence;
    }
    if (told.state === "gone") {
        return told.mayReturn !== true || told.isReplaced === true || told.sequence >= known.sequence;
    }
    const hasSaidLeaving = told.isLeavingSaid === true && known.isLeavingSaid !== true;
    return hasSaidLeaving || told.sequence > known.sequence;
}

/** Whether an end that names no life may be that of a life before the known one. */
function isEndDoubtful({ registration, lifeHeardAt, hasEarlierLife }: Entry, heardAt: number): boolean {
    const isNew = heardAt - lifeHeardAt < MOST_LATE_MS;
    return registration.bornAt !== undefined && (hasEarlierLife || isNew);
}
