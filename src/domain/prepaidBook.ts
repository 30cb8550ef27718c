/**
 * The replicated book of prepaid tokens: what each router has been granted and has committed of each client account.
 *
 * A router spends only what a majority has granted it for good, so a router that is cut off can refuse, never overspend.
 * A grant opens with time: between two answered reports a router commits no more than its last answered report allows.
 * So when a router has ended without a last report, what it cannot have come to spend goes back to the account.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import { computeMostSpent, createReportBound, type ReportBound, type ReportTime } from "./reportBound.js";

/** One router's part of one account. Tokens. */
interface Grant {
    granted: number;
    committed: number;
    /** What the router may commit at once until its next report: it follows from its demand. */
    burst: number;
}

type ReportedAccount = PrepaidReportCommand["accounts"][number];

/** One start of a router that may still spend. */
interface Grantee {
    readonly incarnation: string;
    readonly grants: Map<string, Grant>;
    /** The newest report that its router is known to have the answer to. */
    answered: ReportBound | undefined;
    newest: ReportBound | undefined;
    /** Other incarnations that have reported and are not known to live: the report may be a late one of a dead process. */
    readonly challengers: Set<string>;
}

interface Account {
    /** Most that may be handed out in all. */
    prepaid: number;
    /** What routers that have ended may have spent. */
    closed: number;
    /** The part of `closed` that no report of theirs has told of: lost to the account, spent or not. */
    writtenOff: number;
    /** Granted to routers that may still spend. */
    open: number;
    /** Sum of the bursts of these routers. */
    burst: number;
}

/** What stands in the book for one account. Tokens. */
export interface PrepaidAccountState extends Readonly<Account> {
    readonly account: string;
    readonly free: number;
}

/** What a report came to for one account. */
export interface PrepaidAnswer {
    readonly account: string;
    /** What the router may commit in all. */
    readonly granted: number;
    /** What no router has been granted yet. */
    readonly free: number;
    readonly prepaid: number;
    /** What routers that have ended may have spent without a report of it. */
    readonly writtenOff: number;
    /** Sum of the bursts of all routers that may still spend: this one's part of it is its part of the demand. */
    readonly burst: number;
}

/** Answers of the book. */
export interface PrepaidResult {
    readonly type: "prepaid";
    /** False where the report was late, or from an incarnation that has been replaced; nothing was granted then. */
    readonly taken: boolean;
    /** The incarnation takes the place of an earlier one with its next report, which shows that it has this answer. */
    readonly awaitsConfirmation: boolean;
    readonly routers: number;
    readonly accounts: readonly PrepaidAnswer[];
}

/** Snapshots of earlier versions say nothing of bursts. */
type WithoutBurst<T extends { burst: number; }> = Omit<T, "burst"> & { readonly burst?: number; };

/** The book at one log index. */
export interface PrepaidSnapshot {
    readonly accounts: readonly (WithoutBurst<Account> & { readonly account: string; })[];
    readonly grantees: readonly {
        readonly router: string;
        readonly incarnation: string;
        readonly grants: readonly (WithoutBurst<Grant> & { readonly account: string; })[];
        readonly answered: ReportBound | undefined;
        readonly newest: ReportBound | undefined;
        readonly challengers: readonly string[];
    }[];
    readonly ended: readonly string[];
}

/** The reports that bound a router which runs under another incarnation now. */
export interface PredecessorReports {
    /** Undefined where the router never had an answer. */
    readonly answered: ReportTime | undefined;
    readonly newest: ReportTime;
}

/** How many ended incarnations are remembered, so that a report of theirs that comes late opens nothing. */
const MAX_ENDED = 2_000;
/** How many incarnations of one router may wait for confirmation; the oldest give way. */
const MAX_CHALLENGERS = 20;

/** Changed only by what the replicated log holds, so that every replica has the same. */
export class PrepaidBook {
    private readonly accounts = new Map<string, Account>();
    private readonly grantees = new Map<string, Grantee>();
    private readonly ended = new Set<string>();

    /** Takes the limits of a bundle. An account that it leaves out keeps what was granted and gets no more. */
    applyLimits(limits: readonly { readonly account: string; readonly tokens: number; }[]): void {
        this.accounts.forEach(account => account.prepaid = 0);
        for (const { account, tokens } of limits) {
            this.getAccount(account).prepaid = tokens;
        }
    }

    /** Takes a router's report, which stands at `index` of the log, and grants what the router may have. */
    applyReport(report: PrepaidReportCommand, index: number): PrepaidResult {
        const grantee = this.tryOpenGrantee(report);
        if (grantee === undefined) {
            const awaitsConfirmation = this.grantees.get(report.router)?.challengers.has(report.incarnation) ?? false;
            return { type: "prepaid", taken: false, awaitsConfirmation, routers: this.grantees.size, accounts: [] };
        }
        if (grantee.newest?.sequence === report.answered) {
            grantee.answered = grantee.newest;
        }
        grantee.newest = createReportBound(report, index, grantee.newest);
        const accounts = report.accounts.map(entry => this.applyEntry(grantee, entry, report.closing));
        if (report.closing) {
            this.closeGrantee(report.router, name => grantee.grants.get(name)!.committed);
        }
        return { type: "prepaid", taken: true, awaitsConfirmation: false, routers: this.grantees.size, accounts };
    }

    /** Where the book holds open grants of an earlier start of a router: the reports that bound what it spent. */
    tryGetPredecessor(router: string, incarnation: string): PredecessorReports | undefined {
        const known = this.grantees.get(router);
        return known === undefined || known.incarnation === incarnation || known.newest === undefined
            ? undefined
            : { answered: known.answered, newest: known.newest };
    }

    /** Tokens of an account that no router has been granted. */
    getFree(account: string): number {
        const entry = this.accounts.get(account);
        return entry === undefined ? 0 : Math.max(0, entry.prepaid - entry.closed - entry.open);
    }

    /** The accounts of which least is free, by part of their prepaid tokens. */
    listScarcest(count: number): PrepaidAccountState[] {
        const all = [...this.accounts].map(([account, entry]) => ({ account, ...entry, free: this.getFree(account) }));
        return all.sort((a, b) => a.free / (a.prepaid + 1) - b.free / (b.prepaid + 1)).slice(0, count);
    }

    /** Throws unless what is granted of each account adds up. Tests call it after each step. */
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
                    `account ${name}: ${open} granted, ${account.open} in the book; bursts ${burst}, ${account.burst}`,
                );
            }
        }
    }

    createSnapshot(): PrepaidSnapshot {
        return {
            accounts: [...this.accounts].map(([account, entry]) => ({ account, ...entry })),
            grantees: [...this.grantees].map(([router, { incarnation, grants, answered, newest, challengers }]) => ({
                router,
                incarnation,
                grants: [...grants].map(([account, grant]) => ({ account, ...grant })),
                answered,
                newest,
                challengers: [...challengers],
            })),
            ended: [...this.ended],
        };
    }

    loadSnapshot(snapshot: PrepaidSnapshot): void {
        this.accounts.clear();
        this.grantees.clear();
        this.ended.clear();
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
        snapshot.ended.forEach(incarnation => this.ended.add(incarnation));
    }

    private tryOpenGrantee(report: PrepaidReportCommand): Grantee | undefined {
        if (this.ended.has(report.incarnation)) {
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
            this.closeGrantee(report.router, name => computeMostSpent(known, name, report.predecessor));
            known.challengers.forEach(incarnation => this.addEnded(incarnation));
            this.ended.delete(report.incarnation);
        }
        const opened: Grantee = {
            incarnation: report.incarnation,
            grants: new Map(),
            answered: undefined,
            newest: undefined,
            challengers: new Set(),
        };
        this.grantees.set(report.router, opened);
        return opened;
    }

    /**
     * Whether an incarnation that reports beside the known one has had an answer, so that it lives. The first report of a
     * process that has died may come late, after another one has taken its place.
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
        grant.committed = Math.min(grant.granted, entry.committed);
        account.burst += entry.burst - grant.burst;
        grant.burst = entry.burst;
        // What the router has bound itself not to use goes back before anything new is granted.
        const kept = Math.max(grant.committed, Math.min(grant.granted, closing ? 0 : entry.ceiling));
        account.open -= grant.granted - kept;
        grant.granted = kept;
        if (!closing) {
            const missing = Math.max(0, entry.committed + entry.wanted - grant.granted);
            const given = Math.min(missing, this.getMostForOne(entry.account));
            account.open += given;
            grant.granted += given;
        }
        const free = this.getFree(entry.account);
        const { prepaid, writtenOff, burst } = account;
        return { account: entry.account, granted: grant.granted, free, prepaid, writtenOff, burst };
    }

    /** No report takes all that is free, so that the next router that asks finds something too. */
    private getMostForOne(account: string): number {
        return Math.floor(this.getFree(account) / (this.grantees.size > 1 ? 2 : 1));
    }

    /** Ends a start of a router; `getSpent` says what it may have spent of an account. */
    private closeGrantee(router: string, getSpent: (account: string) => number): void {
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
        this.addEnded(grantee.incarnation);
    }

    private addEnded(incarnation: string): void {
        this.ended.add(incarnation);
        if (this.ended.size > MAX_ENDED) {
            this.ended.delete(this.ended.values().next().value!);
        }
    }

    private getAccount(name: string): Account {
        let account = this.accounts.get(name);
        if (account === undefined) {
            account = { prepaid: 0, closed: 0, writtenOff: 0, open: 0, burst: 0 };
            this.accounts.set(name, account);
        }
        return account;
    }
}
