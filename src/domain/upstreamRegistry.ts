/**
 * The upstreams that have registered themselves, as known to one process. Reports may arrive late and out of order. An
 * upstream that restarts under the same id begins a new incarnation with new sequence numbers; if incarnations were not
 * distinguished, it would be out of service until its sequence number exceeds the previous one, or until the record of
 * its end expires.
 */

/** Maximum length of the name of a software version, in characters. */
export const MAX_VERSION_LENGTH = 128;

/** An upstream's report of itself. */
export interface UpstreamRegistration {
    readonly id: string;
    /**
     * When this incarnation started, by the upstream's clock, in milliseconds since 1970. If undefined, a report
     * belongs to the known incarnation.
     */
    readonly bornAt?: number | undefined;
    readonly service: string;
    /** HOST:PORT; may be reused by another upstream later. */
    readonly address: string;
    readonly zone: string;
    /** Version of its software; undefined if it reports none. */
    readonly version?: string | undefined;
    /** Requests that it processes concurrently. */
    readonly slots: number;
    /** `leaving`: it accepts no new work. `gone`: this incarnation has ended. */
    readonly state: "ready" | "leaving" | "gone";
    /** Increases with each report of an incarnation. */
    readonly sequence: number;
    /** Remaining time of the cold period after a start, in which it accepts few requests. Milliseconds. */
    readonly coldLeftMs?: number | undefined;
    /**
     * If gone: the end may have been that of an earlier incarnation, because the message named none. A newer report of
     * this incarnation revokes it.
     */
    readonly mayReturn?: boolean | undefined;
    /**
     * It announced in an answer that it is leaving. Takes precedence over reports, which may arrive late and still call
     * it ready.
     */
    readonly isLeavingSaid?: boolean | undefined;
    /** If gone: another upstream answered at its address, whatever its reports say. */
    readonly isReplaced?: boolean | undefined;
}

/** Rate limit that an upstream last named, for all routers together. */
export interface HeardLimit {
    /** Requests per second; undefined if the limit has ended. */
    readonly perSecond?: number | undefined;
    readonly ageMs: number;
}

/** A registration and the time since its last report. */
export interface HeardRegistration {
    readonly registration: UpstreamRegistration;
    readonly ageMs: number;
    /** Undefined if this incarnation has never named a limit. */
    readonly limit?: HeardLimit | undefined;
}

/** Identifies one incarnation of an upstream. */
export type UpstreamIncarnation = Pick<UpstreamRegistration, "id" | "bornAt">;

/**
 * Returns a key that is unique among the incarnations of all upstreams. State that is kept under it does not outlive
 * the incarnation.
 */
export function getIncarnationKey({ id, bornAt }: UpstreamIncarnation): string {
    return bornAt === undefined ? id : `${id}@${bornAt}`;
}

/** What is known of the latest incarnation of an upstream. Times are on the monotonic clock, in milliseconds. */
interface Entry {
    registration: UpstreamRegistration;
    heardAt: number;
    /** End of the cold period that it reported; undefined if it reports none. */
    coldUntil: number | undefined;
    /** When this incarnation was first heard of. */
    readonly lifeHeardAt: number;
    /** Whether an earlier incarnation of the id is known. */
    readonly hasEarlierLife: boolean;
    /** Requests per second that it accepts from all routers; undefined if it names no limit. */
    limitPerSecond: number | undefined;
    /** When it last reported its limit or the absence of one; -Infinity if it has never named one. */
    limitSaidAt: number;
    /** When another upstream last answered at its address; -Infinity if none has. */
    replacedAt: number;
}

/** How long an upstream that is gone is kept, so that a late report does not revive it. Milliseconds. */
const GONE_RETENTION_MS = 60_000;
/** How long a silent upstream is kept: longer than a network partition between it and the controllers. Milliseconds. */
const SILENT_RETENTION_MS = 600_000;
/**
 * How long the owner of an address has to be silent before a known upstream can claim it, in milliseconds. Reports are
 * sent about every second, so that a longer silence suggests that the owner has ended.
 */
const MIN_OWNER_SILENCE_MS = 3_000;
/**
 * How long after another upstream has answered at its address an upstream's reports may have been made before that. Longer
 * than reports are usually delayed; an upstream that has returned goes on reporting. Milliseconds.
 */
const REPLACEMENT_MARGIN_MS = 3_000;
/** Minimum relative change of a limit that is forwarded, so that a fluctuating limit is not sent each time. */
const MIN_RELATIVE_LIMIT_CHANGE = 0.1;
/**
 * Minimum extension of the cold period that routers are notified of, since reports arrive with varying delay.
 * Milliseconds.
 */
const MIN_COLD_EXTENSION_MS = 500;
/** Maximum delay of an upstream's message, in milliseconds: a network partition may delay messages by up to 9 s. */
export const MAX_MESSAGE_DELAY_MS = 10_000;

export class UpstreamRegistry {
    private readonly entries = new Map<string, Entry>();
    /**
     * Id of the upstream that is reachable at an address: reports of one that has ended may arrive after another has
     * taken over its address.
     */
    private readonly addressOwners = new Map<string, string>();

    /**
     * Records a report that was received at `heardAt`. Returns `state` if it affects routing, `beat` if it only shows
     * that the upstream is alive, and undefined if it is outdated.
     */
    record(registration: UpstreamRegistration, heardAt: number): "state" | "beat" | undefined {
        const known = this.entries.get(registration.id);
        if (known === undefined || isLaterIncarnation(registration, known, heardAt)) {
            const hasEarlierIncarnation = known !== undefined;
            const coldUntil = tryGetColdUntil(registration, heardAt);
            this.entries.set(registration.id, {
                registration,
                heardAt,
                coldUntil,
                lifeHeardAt: heardAt,
                hasEarlierLife: hasEarlierIncarnation,
                limitPerSecond: undefined,
                limitSaidAt: -Infinity,
                replacedAt: getReplacedAt(registration, heardAt),
            });
            this.tryClaimAddress(registration, heardAt, 0);
            return "state";
        }
        if (isEarlierIncarnation(registration, known.registration)) {
            return undefined;
        }
        return this.recordSameIncarnation(known, registration, heardAt);
    }

    private recordSameIncarnation(
        known: Entry,
        report: UpstreamRegistration,
        heardAt: number,
    ): "state" | "beat" | undefined {
        if (!isNewInformation(report, known.registration) || mayPrecedeReplacement(report, known, heardAt)) {
            return undefined;
        }
        known.replacedAt = Math.max(known.replacedAt, getReplacedAt(report, heardAt));
        const registration = mergeReports(report, known.registration);
        const changed = known.registration.state !== registration.state
            || known.registration.address !== registration.address
            || known.registration.slots !== registration.slots
            || known.registration.version !== registration.version
            || hasColdPeriodExtended(registration, known, heardAt);
        known.registration = registration;
        known.heardAt = Math.max(known.heardAt, heardAt);
        known.coldUntil = tryGetColdUntil(registration, heardAt);
        const hasClaimedAddress = this.tryClaimAddress(registration, heardAt, MIN_OWNER_SILENCE_MS);
        return changed || hasClaimedAddress ? "state" : "beat";
    }

    /** Assigns an upstream its address if the current owner has been silent for at least `minSilenceMs`. */
    private tryClaimAddress(
        { id, address, state }: UpstreamRegistration,
        heardAt: number,
        minSilenceMs: number,
    ): boolean {
        const ownerId = this.addressOwners.get(address);
        if (ownerId === id || state === "gone") {
            return false;
        }
        const owner = ownerId === undefined ? undefined : this.entries.get(ownerId);
        const isOwned = owner !== undefined && owner.registration.state !== "gone";
        if (isOwned && heardAt - owner.heardAt < minSilenceMs) {
            return false;
        }
        this.addressOwners.set(address, id);
        return true;
    }

    /**
     * Marks an upstream as gone. Returns the registration to forward; undefined if the end is that of an earlier
     * incarnation. `bornAt`: start of the incarnation that has ended; undefined if unknown.
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
            version: known?.version,
            slots: known?.slots ?? 0,
            state: "gone",
            sequence: known?.sequence ?? 0,
            mayReturn: bornAt === undefined && entry !== undefined && isEndAmbiguous(entry, heardAt),
        };
        return this.record(gone, heardAt) === undefined && known?.state !== "gone" ? undefined : gone;
    }

    /**
     * Records that a controller received a report at `heardAt` that changed nothing. The upstream reclaims its address
     * if another upstream has claimed it and been silent since.
     */
    recordHeard(id: string, heardAt: number): void {
        const entry = this.entries.get(id);
        if (entry !== undefined && entry.registration.state !== "gone") {
            entry.heardAt = Math.max(entry.heardAt, heardAt);
            this.tryClaimAddress(entry.registration, entry.heardAt, MIN_OWNER_SILENCE_MS);
        }
    }

    /** Evicts upstreams that have long been gone or silent. Returns whether a silent one was evicted. */
    evictExpired(now: number): boolean {
        let hasEvictedSilent = false;
        for (const [id, { registration, heardAt }] of this.entries) {
            const retentionMs = registration.state === "gone" ? GONE_RETENTION_MS : SILENT_RETENTION_MS;
            if (now - heardAt > retentionMs) {
                this.entries.delete(id);
                hasEvictedSilent ||= registration.state !== "gone";
                if (this.addressOwners.get(registration.address) === id) {
                    this.addressOwners.delete(registration.address);
                }
            }
        }
        return hasEvictedSilent;
    }

    /** Returns all upstreams with their age at `now`. */
    list(now: number): HeardRegistration[] {
        return [...this.entries.values()].map(entry => createHeardRegistration(entry, now));
    }

    /** Returns an upstream with its age at `now`; undefined if it was evicted or has a newer incarnation. */
    tryGetHeard(incarnation: UpstreamIncarnation, now: number): HeardRegistration | undefined {
        const entry = this.tryGetEntry(incarnation);
        return entry === undefined ? undefined : createHeardRegistration(entry, now);
    }

    /** Returns the upstreams of a service that own their address, accept new work and reported within `maxAgeMs`. */
    getReady(service: string, now: number, maxAgeMs: number): UpstreamRegistration[] {
        const ready: UpstreamRegistration[] = [];
        for (const { registration, heardAt } of this.entries.values()) {
            const isReady = registration.service === service && registration.state === "ready";
            const isAddressOwner = this.addressOwners.get(registration.address) === registration.id;
            if (isReady && isAddressOwner && now - heardAt <= maxAgeMs) {
                ready.push(registration);
            }
        }
        return ready;
    }

    /**
     * Marks an incarnation as gone because another upstream answered at its address. Only a report that is newer than all
     * received ones and was certainly made later revokes that. Returns the registration to forward; undefined if it was known to be gone.
     */
    recordReplaced(registration: UpstreamRegistration, heardAt: number): UpstreamRegistration | undefined {
        const gone: UpstreamRegistration = {
            ...this.getLatest(registration),
            state: "gone",
            mayReturn: true,
            isReplaced: true,
        };
        return this.record(gone, heardAt) === "state" ? gone : undefined;
    }

    /**
     * Returns the end of an upstream's cold period. If it reports none, `coldStartMs` after its incarnation was first
     * heard of. Monotonic clock.
     */
    getColdUntil({ id }: UpstreamRegistration, coldStartMs: number): number {
        const entry = this.entries.get(id);
        return entry === undefined ? -Infinity : entry.coldUntil ?? entry.lifeHeardAt + coldStartMs;
    }

    /**
     * Records the limit that an upstream named at `reportedAt`, or its absence. Returns whether the limit changed; a
     * statement older than the known one is ignored.
     */
    recordLimit(incarnation: UpstreamIncarnation, perSecond: number | undefined, reportedAt: number): boolean {
        const entry = this.tryGetEntry(incarnation);
        if (entry === undefined || reportedAt < entry.limitSaidAt) {
            return false;
        }
        entry.limitSaidAt = reportedAt;
        if (!hasLimitChanged(perSecond, entry.limitPerSecond)) {
            return false;
        }
        entry.limitPerSecond = perSecond;
        return true;
    }

    /** Returns the requests per second that an upstream accepts from all routers; undefined if it names no limit. */
    tryGetLimit(incarnation: UpstreamIncarnation): number | undefined {
        return this.tryGetEntry(incarnation)?.limitPerSecond;
    }

    /** Counts the upstreams that name a limit and are not gone. */
    countLimited(): number {
        const entries = [...this.entries.values()];
        return entries.filter(entry => entry.limitPerSecond !== undefined && entry.registration.state !== "gone")
            .length;
    }

    /** Counts the upstreams that are leaving, by their reports or by an answer. */
    countLeaving(): number {
        return [...this.entries.values()].filter(({ registration }) => registration.state === "leaving").length;
    }

    /**
     * Returns when an upstream last reported its limit or the absence of one; -Infinity if it has never named one.
     * Monotonic clock.
     */
    getLimitReportedAt(incarnation: UpstreamIncarnation): number {
        return this.tryGetEntry(incarnation)?.limitSaidAt ?? -Infinity;
    }

    /** Records that an upstream announced in an answer that it is leaving. Returns whether that was unknown. */
    recordLeaving(incarnation: UpstreamIncarnation, heardAt: number): boolean {
        const known = this.tryGetEntry(incarnation)?.registration;
        return known !== undefined && known.state !== "gone"
            && this.record({ ...known, isLeavingSaid: true }, heardAt) === "state";
    }

    /**
     * Returns the latest registration of the same incarnation; `registration` itself if that was evicted or has been
     * superseded.
     */
    getLatest(registration: UpstreamRegistration): UpstreamRegistration {
        return this.tryGetEntry(registration)?.registration ?? registration;
    }

    /** Returns undefined if the incarnation was evicted or has been superseded. */
    private tryGetEntry(incarnation: UpstreamIncarnation): Entry | undefined {
        const entry = this.entries.get(incarnation.id);
        return entry !== undefined && entry.registration.bornAt === incarnation.bornAt ? entry : undefined;
    }

    /** Whether an upstream has not been heard of with another software version since it was registered like this. */
    isCurrentVersion({ id, version }: UpstreamRegistration): boolean {
        const latest = this.entries.get(id)?.registration;
        return latest === undefined || latest.version === version;
    }

    /** Returns the latest registration of an upstream, even if it is gone. */
    tryGet(id: string): UpstreamRegistration | undefined {
        return this.entries.get(id)?.registration;
    }
}

function createHeardRegistration(
    { registration, heardAt, limitPerSecond, limitSaidAt }: Entry,
    now: number,
): HeardRegistration {
    const computeAgeMs = (at: number) => Math.max(0, Math.round(now - at));
    const heard = { registration, ageMs: computeAgeMs(heardAt) };
    return limitSaidAt === -Infinity
        ? heard
        : { ...heard, limit: { perSecond: limitPerSecond, ageMs: computeAgeMs(limitSaidAt) } };
}

function hasLimitChanged(reported: number | undefined, known: number | undefined): boolean {
    return reported === undefined || known === undefined
        ? reported !== known
        : Math.abs(reported - known) > MIN_RELATIVE_LIMIT_CHANGE * Math.max(reported, known);
}

/** Returns the end of the cold period that a report of `heardAt` states; undefined if it states none. */
function tryGetColdUntil({ coldLeftMs }: UpstreamRegistration, heardAt: number): number | undefined {
    return coldLeftMs === undefined ? undefined : heardAt + coldLeftMs;
}

/** Returns whether a report starts a cold period or extends it notably. */
function hasColdPeriodExtended(
    report: UpstreamRegistration,
    { coldUntil = -Infinity }: Entry,
    heardAt: number,
): boolean {
    const coldLeftMs = report.coldLeftMs ?? 0;
    return coldLeftMs > 0 && heardAt + coldLeftMs > coldUntil + MIN_COLD_EXTENSION_MS;
}

/** Returns whether a report belongs to a later incarnation than the known one. */
function isLaterIncarnation(report: UpstreamRegistration, known: Entry, heardAt: number): boolean {
    const { bornAt, state } = known.registration;
    if (report.bornAt === undefined || bornAt === undefined || report.bornAt === bornAt) {
        return false;
    }
    // A box's clock may be set back between two incarnations. Then the one that still reports after the maximum message
    // delay is the later one.
    return report.bornAt > bornAt || (state !== "gone" && heardAt - known.heardAt > MAX_MESSAGE_DELAY_MS);
}

function isEarlierIncarnation(report: UpstreamRegistration, known: UpstreamRegistration): boolean {
    return report.bornAt !== undefined && known.bornAt !== undefined && report.bornAt < known.bornAt;
}

/** Combines the known state of an incarnation with another report of it. */
function mergeReports(report: UpstreamRegistration, known: UpstreamRegistration): UpstreamRegistration {
    const isLeavingSaid = report.isLeavingSaid === true || known.isLeavingSaid === true;
    // A router that forwards an answer may attach a report that is older than the known one.
    const newest = report.state !== "gone" && report.sequence < known.sequence ? known : report;
    return {
        ...newest,
        bornAt: report.bornAt ?? known.bornAt,
        sequence: Math.max(report.sequence, known.sequence),
        ...(isLeavingSaid ? { isLeavingSaid, state: newest.state === "gone" ? "gone" : "leaving" } : {}),
    };
}

/**
 * Returns whether a report adds information on the known incarnation. The end of an incarnation does not need a higher
 * sequence number.
 */
function isNewInformation(report: UpstreamRegistration, known: UpstreamRegistration): boolean {
    if (known.state === "gone") {
        return known.mayReturn === true && report.state !== "gone" && report.sequence > known.sequence;
    }
    if (report.state === "gone") {
        return report.mayReturn !== true || report.isReplaced === true || report.sequence >= known.sequence;
    }
    const hasBegunLeaving = report.isLeavingSaid === true && known.isLeavingSaid !== true;
    return hasBegunLeaving || report.sequence > known.sequence;
}

function getReplacedAt({ isReplaced }: UpstreamRegistration, heardAt: number): number {
    return isReplaced === true ? heardAt : -Infinity;
}

/** Returns whether a report may have been made before another upstream answered at the address. */
function mayPrecedeReplacement(report: UpstreamRegistration, known: Entry, heardAt: number): boolean {
    return known.registration.isReplaced === true && report.state !== "gone"
        && heardAt < known.replacedAt + REPLACEMENT_MARGIN_MS;
}

/** Returns whether an end that names no incarnation may be that of an earlier one. */
function isEndAmbiguous(
    { registration, lifeHeardAt, hasEarlierLife }: Entry,
    heardAt: number,
): boolean {
    const isRecent = heardAt - lifeHeardAt < MAX_MESSAGE_DELAY_MS;
    return registration.bornAt !== undefined && (hasEarlierLife || isRecent);
}
