/**
 * The replicated book of prepaid tokens: what each router has been granted and has committed of each client account.
 *
 * A router spends only what a majority has granted it for good, so a router that is cut off can refuse, never overspend.
 * What a router that ended without a last report had been granted counts as spent: nobody can say how much of it was.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";

/** Part of what is still free that one report may be granted, as one over the number of open routers plus this. */
const SHARE_RESERVE = 1;

/** One router's part of one account. Tokens. */
interface Grant {
    granted: number;
    committed: number;
}

/** One start of a router that may still spend. */
interface Grantee {
    readonly incarnation: string;
    sequence: number;
    readonly grants: Map<string, Grant>;
}

interface Account {
    /** Most that may be handed out in all. */
    prepaid: number;
    /** Granted to routers that have ended, less what they gave back. */
    closed: number;
    /** Granted to routers that may still spend. */
    open: number;
}

/** What a report came to for one account. */
export interface PrepaidAnswer {
    readonly account: string;
    /** What the router may commit in all. */
    readonly granted: number;
    /** What no router has been granted yet. */
    readonly free: number;
    readonly prepaid: number;
}

/** Answers of the book. */
export interface PrepaidResult {
    readonly type: "prepaid";
    /** False where the report was late, or from an incarnation that has been replaced; nothing was granted then. */
    readonly taken: boolean;
    readonly routers: number;
    readonly accounts: readonly PrepaidAnswer[];
}

/** The book at one log index. */
export interface PrepaidSnapshot {
    readonly accounts: readonly (Account & { readonly account: string; })[];
    readonly grantees: readonly {
        readonly router: string;
        readonly incarnation: string;
        readonly sequence: number;
        readonly grants: readonly (Grant & { readonly account: string; })[];
    }[];
    readonly ended: readonly string[];
}

/** How many ended incarnations are remembered, so that a report of theirs that comes late opens nothing. */
const MAX_ENDED = 2_000;

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

    /** Takes a router's report and grants what it may have. */
    applyReport(report: PrepaidReportCommand): PrepaidResult {
        const grantee = this.tryOpenGrantee(report);
        if (grantee === undefined) {
            return { type: "prepaid", taken: false, routers: this.grantees.size, accounts: [] };
        }
        grantee.sequence = report.sequence;
        const accounts = report.accounts.map(entry => this.applyEntry(grantee, entry, report.closing));
        if (report.closing) {
            this.closeGrantee(report.router);
        }
        return { type: "prepaid", taken: true, routers: this.grantees.size, accounts };
    }

    /** Tokens of an account that no router has been granted. */
    getFree(account: string): number {
        const entry = this.accounts.get(account);
        return entry === undefined ? 0 : Math.max(0, entry.prepaid - entry.closed - entry.open);
    }

    /** Throws unless what is granted of each account adds up. Tests call it after each step. */
    checkConservation(): void {
        for (const [name, account] of this.accounts) {
            let open = 0;
            this.grantees.forEach(grantee => open += grantee.grants.get(name)?.granted ?? 0);
            if (open !== account.open) {
                throw new Error(`account ${name}: ${open} granted, ${account.open} in the book`);
            }
        }
    }

    createSnapshot(): PrepaidSnapshot {
        return {
            accounts: [...this.accounts].map(([account, entry]) => ({ account, ...entry })),
            grantees: [...this.grantees].map(([router, grantee]) => ({
                router,
                incarnation: grantee.incarnation,
                sequence: grantee.sequence,
                grants: [...grantee.grants].map(([account, grant]) => ({ account, ...grant })),
            })),
            ended: [...this.ended],
        };
    }

    loadSnapshot(snapshot: PrepaidSnapshot): void {
        this.accounts.clear();
        this.grantees.clear();
        this.ended.clear();
        for (const { account, prepaid, closed, open } of snapshot.accounts) {
            this.accounts.set(account, { prepaid, closed, open });
        }
        for (const { router, incarnation, sequence, grants } of snapshot.grantees) {
            const copied = grants.map(({ account, granted, committed }) => [account, { granted, committed }] as const);
            this.grantees.set(router, { incarnation, sequence, grants: new Map(copied) });
        }
        snapshot.ended.forEach(incarnation => this.ended.add(incarnation));
    }

    private tryOpenGrantee(report: PrepaidReportCommand): Grantee | undefined {
        if (this.ended.has(report.incarnation)) {
            return undefined;
        }
        const known = this.grantees.get(report.router);
        if (known?.incarnation === report.incarnation) {
            return report.sequence > known.sequence ? known : undefined;
        }
        if (known !== undefined) {
            this.closeGrantee(report.router);
        }
        const opened: Grantee = { incarnation: report.incarnation, sequence: 0, grants: new Map() };
        this.grantees.set(report.router, opened);
        return opened;
    }

    private applyEntry(
        grantee: Grantee,
        entry: PrepaidReportCommand["accounts"][number],
        closing: boolean,
    ): PrepaidAnswer {
        const account = this.getAccount(entry.account);
        const grant = grantee.grants.get(entry.account) ?? { granted: 0, committed: 0 };
        grantee.grants.set(entry.account, grant);
        grant.committed = Math.min(grant.granted, Math.max(grant.committed, entry.committed));
        // What the router has bound itself not to use goes back before anything new is granted.
        const kept = Math.max(grant.committed, Math.min(grant.granted, closing ? 0 : entry.ceiling));
        account.open -= grant.granted - kept;
        grant.granted = kept;
        if (!closing) {
            const missing = Math.max(0, grant.committed + entry.wanted - grant.granted);
            const given = Math.min(missing, this.getMostForOne(entry.account));
            account.open += given;
            grant.granted += given;
        }
        const free = this.getFree(entry.account);
        return { account: entry.account, granted: grant.granted, free, prepaid: account.prepaid };
    }

    /** No report takes all that is free, so that the next router that asks finds something too. */
    private getMostForOne(account: string): number {
        return Math.floor(this.getFree(account) / (this.grantees.size > 1 ? 1 + SHARE_RESERVE : 1));
    }

    private closeGrantee(router: string): void {
        const grantee = this.grantees.get(router)!;
        for (const [name, grant] of grantee.grants) {
            const account = this.getAccount(name);
            account.open -= grant.granted;
            account.closed += grant.granted;
        }
        this.grantees.delete(router);
        this.ended.add(grantee.incarnation);
        if (this.ended.size > MAX_ENDED) {
            this.ended.delete(this.ended.values().next().value!);
        }
    }

    private getAccount(name: string): Account {
        let account = this.accounts.get(name);
        if (account === undefined) {
            account = { prepaid: 0, closed: 0, open: 0 };
            this.accounts.set(name, account);
        }
        return account;
    }
}
