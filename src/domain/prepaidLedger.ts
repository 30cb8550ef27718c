/**
 * Replicated record of the prepaid tokens that each router has been granted and has committed, by client account.
 *
 * A router spends only tokens that a majority of the controllers has granted it, so a partitioned router may refuse
 * requests but cannot overspend. Each report also limits what its router may commit until the next one is answered.
 * When a router ends without a final report, tokens beyond that limit return to the account.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import {
    computeMaxCommitted,
    createReportBound,
    type MaxCommitted,
    type ReportBound,
    type ReportTime,
} from "./reportBound.js";

/** One router's share of one account, in tokens. */
interface Grant {
    granted: number;
    committed: number;
    /** Tokens that the router may commit at once until its next report, derived from its demand. */
    burst: number;
}

type ReportedAccount = PrepaidReportCommand["accounts"][number];

/** One incarnation of a router that may still spend. */
interface Grantee {
    readonly incarnation: string;
    readonly grants: Map<string, Grant>;
    /** The newest report whose answer the router is known to have received. */
    answered: ReportBound | undefined;
    newest: ReportBound | undefined;
    /**
     * Other incarnations of the router that have reported but have not shown that they received an answer. Such a
     * report may be a delayed one from a process that has exited.
     */
    readonly challengers: Set<string>;
}

interface Account {
    /** Maximum number of tokens that may be granted in total; `UNLIMITED` if the bundle declares no limit. */
    prepaid: number;
    /** Upper bound on the tokens spent by routers that have ended. */
    closed: number;
    /** The part of `closed` that was never reported as committed. It is lost to the account, whether spent or not. */
    writtenOff: number;
    /** Tokens granted to routers that may still spend. */
    open: number;
    /** Sum of the bursts of routers that may still spend. */
    burst: number;
}

/** Totals of one account, in tokens. */
export interface PrepaidAccountState extends Readonly<Account> {
    readonly account: string;
    readonly free: number;
}

/** Outcome of a report for one account. */
export interface PrepaidAnswer {
    readonly account: string;
    /** Total number of tokens that the router may commit. */
    readonly granted: number;
    /** Tokens not granted to any router. */
    readonly free: number;
    readonly prepaid: number;
    /** Tokens that ended routers may have spent but did not report. */
    readonly writtenOff: number;
    /** Sum of the bursts of all routers that may still spend. A router's share of it is its share of the demand. */
    readonly burst: number;
}

/** Outcome of applying a report. */
export interface PrepaidResult {
    readonly type: "prepaid";
    /** False if the report was outdated or came from an incarnation that is not current; nothing was granted then. */
    readonly taken: boolean;
    /**
     * Whether this incarnation replaces the current one with its next report, which confirms that it received this
     * answer.
     */
    readonly awaitsConfirmation: boolean;
    /** Number of routers that hold grants; in a leader's answer, of those that still report. */
    readonly routers: number;
    readonly accounts: readonly PrepaidAnswer[];
    /** Revision of the bundle whose limits were in effect; controllers of earlier versions do not state it. */
    readonly bundleRevision?: number | undefined;
}

/** Snapshots of earlier versions have no `burst` field. */
type OptionalBurst<T extends { burst: number; }> = Omit<T, "burst"> & { readonly burst?: number; };

/** Grants of an account without a limit are not bounded, and count as those of others, so that its use counts once it gets a limit. */
const UNLIMITED = Number.MAX_SAFE_INTEGER;

/** State of the ledger at one log index. */
export interface PrepaidSnapshot {
    /** Snapshots of earlier versions do not have it. */
    readonly bundleRevision?: number | undefined;
    readonly accounts: readonly (OptionalBurst<Account> & { readonly account: string; })[];
    readonly grantees: readonly {
        readonly router: string;
        readonly incarnation: string;
        readonly grants: readonly (OptionalBurst<Grant> & { readonly account: string; })[];
        readonly answered: ReportBound | undefined;
        readonly newest: ReportBound | undefined;
        readonly challengers: readonly string[];
    }[];
    readonly ended: readonly string[];
}

/** The reports that limit what the previous incarnation of a restarted router may have spent. */
export interface PredecessorReports {
    /** Undefined if the router has not confirmed any answer. */
    readonly answered: ReportTime | undefined;
    readonly newest: ReportTime;
}

/** Ended incarnations that are remembered so that their delayed reports are rejected. */
const MAX_ENDED_INCARNATIONS = 2_000;
/** Incarnations of one router that may await confirmation; the oldest are dropped first. */
const MAX_CHALLENGERS = 20;

/** State machine that changes only by replicated commands, so that all replicas stay identical. */
export class PrepaidLedger {
    private readonly accounts = new Map<string, Account>();
    private readonly grantees = new Map<string, Grantee>();
    private readonly endedIncarnations = new Set<string>();
    private bundleRevision: number | undefined;

    /** Sets the limits that the bundle of a revision declares. All other accounts have none. */
    applyLimits(
        limits: readonly { readonly account: string; readonly tokens: number; }[],
        revision: number,
    ): void {
        this.bundleRevision = revision;
        this.accounts.forEach(account => account.prepaid = UNLIMITED);
        for (const { account, tokens } of limits) {
            this.getAccount(account).prepaid = tokens;
        }
    }

    /** Applies the report stored at log position `index` and grants tokens to its router. */
    applyReport(report: PrepaidReportCommand, index: number): PrepaidResult {
        const grantee = this.tryGetOrCreateGrantee(report);
        if (grantee === undefined) {
            const awaitsConfirmation = this.grantees.get(report.router)?.challengers.has(report.incarnation) ?? false;
            return this.createResult(false, awaitsConfirmation, []);
        }
        if (grantee.newest?.sequence === report.answered) {
            grantee.answered = grantee.newest;
        }
        grantee.newest = createReportBound(report, index, grantee.newest);
        const accounts = report.accounts.map(entry => this.applyEntry(grantee, entry, report.closing));
        if (report.closing) {
            this.closeGrantee(report.router, name => grantee.grants.get(name)!.committed);
        }
        return this.createResult(true, false, accounts);
    }

    private createResult(
        taken: boolean,
        awaitsConfirmation: boolean,
        accounts: readonly PrepaidAnswer[],
    ): PrepaidResult {
        const { bundleRevision } = this;
        return { type: "prepaid", taken, awaitsConfirmation, routers: this.grantees.size, accounts, bundleRevision };
    }

    /** Returns the reports that limit what an earlier incarnation of the router spent, if it still holds grants. */
    tryGetPredecessorReports(router: string, incarnation: string): PredecessorReports | undefined {
        const known = this.grantees.get(router);
        return known === undefined || known.incarnation === incarnation || known.newest === undefined
            ? undefined
            : { answered: known.answered, newest: known.newest };
    }

    /** Lists the routers that hold grants, whether or not they are still running. */
    listRouters(): string[] {
        return [...this.grantees.keys()];
    }

    /** Returns the tokens of an account that are not granted to any router. */
    getFree(account: string): number {
        const entry = this.accounts.get(account);
        return entry === undefined ? 0 : Math.max(0, entry.prepaid - entry.closed - entry.open);
    }

    /** Returns the accounts with the smallest free share of their prepaid tokens. */
    listMostDepleted(count: number): PrepaidAccountState[] {
        const all = [...this.accounts].map(([account, entry]) => ({ account, ...entry, free: this.getFree(account) }));
        return all.sort((a, b) => a.free / (a.prepaid + 1) - b.free / (b.prepaid + 1)).slice(0, count);
    }

    /** Throws if the totals of an account differ from the sums over its grants. Used by tests. */
    checkConservation(): void {
        for (const [name, account] of this.accounts) {
            let open = 0;
            let burst = 0;
            for (const { grants } of this.grantees.values()) {
                open += grants.get(name)?.granted ?? 0;
                burst += grants.get(name)?.burst ?? 0;
            }
            if (open !== account.open || burst !== account.burst) {
                throw new Error(
                    `account ${name}: grants sum to ${open}, recorded ${account.open}; bursts sum to ${burst}, recorded ${account.burst}`,
                );
            }
        }
    }

    createSnapshot(): PrepaidSnapshot {
        return {
            bundleRevision: this.bundleRevision,
            accounts: [...this.accounts].map(([account, entry]) => ({ account, ...entry })),
            grantees: [...this.grantees].map(([router, { incarnation, grants, answered, newest, challengers }]) => ({
                router,
                incarnation,
                grants: [...grants].map(([account, grant]) => ({ account, ...grant })),
                answered,
                newest,
                challengers: [...challengers],
            })),
            ended: [...this.endedIncarnations],
        };
    }

    loadSnapshot(snapshot: PrepaidSnapshot): void {
        this.accounts.clear();
        this.grantees.clear();
        this.endedIncarnations.clear();
        this.bundleRevision = snapshot.bundleRevision;
        for (const { account, prepaid, closed, writtenOff, open, burst = 0 } of snapshot.accounts) {
            this.accounts.set(account, { prepaid, closed, writtenOff, open, burst });
        }
        for (const { router, incarnation, grants, answered, newest, challengers } of snapshot.grantees) {
            const copied = grants.map(({ account, ...grant }) => [account, { burst: 0, ...grant }] as const);
            this.grantees.set(router, {
                incarnation,
                grants: new Map(copied),
                answered,
                newest,
                challengers: new Set(challengers),
            });
        }
        snapshot.ended.forEach(incarnation => this.endedIncarnations.add(incarnation));
    }

    private tryGetOrCreateGrantee(report: PrepaidReportCommand): Grantee | undefined {
        if (this.endedIncarnations.has(report.incarnation)) {
            return undefined;
        }
        const known = this.grantees.get(report.router);
        if (known?.incarnation === report.incarnation) {
            return report.sequence > (known.newest?.sequence ?? 0) ? known : undefined;
        }
        if (known !== undefined) {
            if (!this.isConfirmed(known, report)) {
                return undefined;
            }
            this.closeGrantee(report.router, computeMaxCommitted(known, report.predecessor));
            known.challengers.forEach(incarnation => this.addEndedIncarnation(incarnation));
            this.endedIncarnations.delete(report.incarnation);
        }
        const created: Grantee = {
            incarnation: report.incarnation,
            grants: new Map(),
            answered: undefined,
            newest: undefined,
            challengers: new Set(),
        };
        this.grantees.set(report.router, created);
        return created;
    }

    /**
     * Whether a new incarnation has shown that it received an answer, which proves that it is running. Without this
     * check, a delayed first report of an exited process could replace its successor.
     */
    private isConfirmed({ challengers }: Grantee, report: PrepaidReportCommand): boolean {
        if (challengers.has(report.incarnation) && report.answered > 0) {
            return true;
        }
        challengers.add(report.incarnation);
        if (challengers.size > MAX_CHALLENGERS) {
            challengers.delete(challengers.values().next().value!);
        }
        return false;
    }

    private applyEntry(grantee: Grantee, entry: ReportedAccount, closing: boolean): PrepaidAnswer {
        const account = this.getAccount(entry.account);
        const grant = grantee.grants.get(entry.account) ?? { granted: 0, committed: 0, burst: 0 };
        grantee.grants.set(entry.account, grant);
        // Only a router at which the account has had no limit uses more than its grant. Totals are held at the largest exact count.
        const excess = Math.min(Math.max(0, entry.ceiling - grant.granted), UNLIMITED - account.open - account.closed);
        account.open += excess;
        grant.granted += excess;
        grant.committed = Math.min(grant.granted, entry.committed);
        const otherBursts = account.burst - grant.burst;
        grant.burst = Math.min(entry.burst, UNLIMITED - otherBursts);
        account.burst = otherBursts + grant.burst;
        // Tokens above the reported ceiling are returned before new ones are granted.
        const retained = Math.max(grant.committed, Math.min(grant.granted, closing ? 0 : entry.ceiling));
        account.open -= grant.granted - retained;
        grant.granted = retained;
        if (!closing) {
            const shortfall = Math.max(0, entry.committed + entry.wanted - grant.granted);
            const added = Math.min(shortfall, this.computeMaxGrant(entry.account));
            account.open += added;
            grant.granted += added;
        }
        const free = this.getFree(entry.account);
        const { prepaid, writtenOff, burst } = account;
        return { account: entry.account, granted: grant.granted, free, prepaid, writtenOff, burst };
    }

    /** Limits a single grant so that other routers can still obtain tokens. */
    private computeMaxGrant(account: string): number {
        return Math.floor(this.getFree(account) / (this.grantees.size > 1 ? 2 : 1));
    }

    /** Ends an incarnation. `getSpent` returns the upper bound of its spending for an account. */
    private closeGrantee(router: string, getSpent: MaxCommitted): void {
        const grantee = this.grantees.get(router)!;
        for (const [name, grant] of grantee.grants) {
            const account = this.getAccount(name);
            account.open -= grant.granted;
            account.burst -= grant.burst;
            const closed = Math.min(grant.granted, getSpent(name));
            account.closed += closed;
            account.writtenOff += Math.max(0, closed - grant.committed);
        }
        this.grantees.delete(router);
        this.addEndedIncarnation(grantee.incarnation);
    }

    private addEndedIncarnation(incarnation: string): void {
        this.endedIncarnations.add(incarnation);
        if (this.endedIncarnations.size > MAX_ENDED_INCARNATIONS) {
            this.endedIncarnations.delete(this.endedIncarnations.values().next().value!);
        }
    }

    private getAccount(name: string): Account {
        let account = this.accounts.get(name);
        if (account === undefined) {
            account = { prepaid: UNLIMITED, closed: 0, writtenOff: 0, open: 0, burst: 0 };
            this.accounts.set(name, account);
        }
        return account;
    }
}
