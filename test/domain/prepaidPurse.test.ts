/** A router's purse: what it lends, and what low ranks leave to urgent ones while tokens run short. */
import t from "tap";
import type { PrepaidReportCommand } from "../../src/domain/bundleCommands.js";
import { PrepaidPurse } from "../../src/domain/prepaidPurse.js";
import { testPurseOptions } from "../tools/prepaidWorld.js";

const PREPAID = 100_000;
const MOST_URGENT = 0;
const LEAST_URGENT = 2;
/** Longer than a router that is in contact goes without an answer. */
const CUT_MS = testPurseOptions.outOfContactMs + 1_000;

interface Grant {
    readonly granted: number;
    readonly free: number;
    readonly writtenOff?: number;
}

/** A purse whose first report was answered with `grant`, all of it open at once. */
function createPurse(grant: Grant): PrepaidPurse {
    // All of the grant may be committed within the burst, so that only the grant and the ranks decide.
    const purse = new PrepaidPurse("r1", "i1", testPurseOptions);
    purse.setLimits([{ account: "a", tokens: PREPAID }]);
    purse.addWaiting("a", grant.granted);
    answer(purse, grant, 0);
    purse.addWaiting("a", -grant.granted);
    return purse;
}

function answer(purse: PrepaidPurse, { granted, free, writtenOff = 0 }: Grant, now: number): PrepaidReportCommand {
    const report = purse.createReport(now, now, false);
    purse.applyAnswer(report.sequence, [{ account: "a", granted, free, prepaid: PREPAID, writtenOff, burst: 0 }], now);
    return report;
}

/** Reserves and consumes, so that the purse knows the urgent demand. */
function consumeUrgent(purse: PrepaidPurse, tokens: number, now: number): void {
    t.equal(purse.tryReserve("a", tokens, MOST_URGENT, now), "reserved");
    purse.settle("a", tokens, tokens);
}

void t.test("a loan covers what is missing, as far as the lender can spare it", t => {
    const lender = createPurse({ granted: 3_000, free: 0 });
    t.equal(lender.lend("a", 2_000, MOST_URGENT, false, 1), 2_000);
    t.equal(lender.lend("a", 2_000, MOST_URGENT, false, 1), 1_000, "the rest");
    t.equal(lender.lend("a", 2_000, MOST_URGENT, false, 1), 0, "nothing is left");
    t.equal(lender.tryReserve("a", 1, MOST_URGENT, 1), "exhausted", "what was lent is spent");
    t.end();
});

void t.test("two loans of other routers make up for a reservation that none of them covers", t => {
    const borrower = createPurse({ granted: 1_000, free: 0 });
    t.equal(borrower.getShortfall("a", 6_000, MOST_URGENT, 1), 5_000);
    borrower.addBorrowed("a", 3_000);
    t.equal(borrower.getShortfall("a", 6_000, MOST_URGENT, 1), 2_000);
    borrower.addBorrowed("a", 2_000);
    t.equal(borrower.tryReserve("a", 6_000, MOST_URGENT, 1), "reserved");
    t.end();
});

void t.test("low ranks leave tokens to urgent ones in a cut", t => {
    const purse = createPurse({ granted: 30_000, free: 0 });
    consumeUrgent(purse, 10_000, 1);
    t.equal(purse.tryReserve("a", 16_000, LEAST_URGENT, CUT_MS), "short", "kept for the urgent ones");
    t.equal(purse.tryReserve("a", 16_000, MOST_URGENT, CUT_MS), "reserved");
    t.end();
});

void t.test("they leave nothing to others while the grant can be refilled", t => {
    const purse = createPurse({ granted: 30_000, free: 0 });
    consumeUrgent(purse, 10_000, 1);
    t.equal(purse.tryReserve("a", 16_000, LEAST_URGENT, 2), "reserved");
    t.end();
});

void t.test("they do where the account is short for what was written off", t => {
    const purse = createPurse({ granted: 30_000, free: 0, writtenOff: PREPAID / 2 });
    consumeUrgent(purse, 10_000, 1);
    t.equal(purse.tryReserve("a", 16_000, LEAST_URGENT, 2), "short", "kept for the urgent ones");
    t.equal(purse.tryReserve("a", 16_000, MOST_URGENT, 2), "reserved");
    t.end();
});

void t.test("a router that borrows keeps nothing back of a loan that was made for the request: its holder has", t => {
    for (const grant of [{ granted: 0, free: 0 }, { granted: 0, free: 0, writtenOff: PREPAID / 2 }]) {
        const purse = createPurse(grant);
        purse.setHoldings(() => ({ isHolder: false, holders: 1 }));
        purse.addBorrowed("a", 10_000);
        consumeUrgent(purse, 10_000, 1);
        for (const now of [2, CUT_MS]) {
            purse.addBorrowed("a", 1_500);
            t.equal(purse.getShortfall("a", 1_500, LEAST_URGENT, now), 0);
            t.equal(purse.tryReserve("a", 1_500, LEAST_URGENT, now), "reserved");
        }
    }
    t.end();
});

void t.test("what decided is told for the log", t => {
    const purse = createPurse({ granted: 5_000, free: 700 });
    t.equal(purse.tryReserve("a", 1_000, MOST_URGENT, 10), "reserved");
    t.same(purse.tryGetState("a", 10), { granted: 5_000, charged: 1_000, room: 4_000, free: 700, answerAgeMs: 10 });
    t.equal(purse.tryGetState("unknown", 10), undefined);
    t.end();
});

void t.test("a report leaves out accounts of which nothing has changed", t => {
    const purse = new PrepaidPurse("r1", "i1", testPurseOptions);
    const names = Array.from({ length: 40 }, (_, i) => `account-${i}`);
    purse.setLimits(names.map(account => ({ account, tokens: PREPAID })));
    const report = (now: number, isAnswered: boolean): string[] => {
        const { accounts, sequence } = purse.createReport(now, now, false);
        if (isAnswered) {
            const grant = { granted: 10_000, free: 50_000, prepaid: PREPAID, writtenOff: 0, burst: 0 };
            purse.applyAnswer(sequence, accounts.map(({ account }) => ({ account, ...grant })), now);
        }
        return accounts.map(({ account }) => account);
    };
    t.same(report(0, false), names, "all at first");
    t.same(report(200, true), names, "and again, since the first was not answered");
    t.same(report(400, true), []);
    purse.tryReserve("account-7", 100, MOST_URGENT, 700);
    t.same(report(800, false), ["account-7"]);
    t.same(report(1_000, true), ["account-7"], "until that is answered");
    t.same(report(1_200, true), []);
    t.equal(report(200 + testPurseOptions.refreshMs, true).length, names.length - 1, "all after a while");
    t.end();
});

void t.test("a router that borrows from a holder wants no grant of its own, and a holder wants what it lends", t => {
    const purse = createPurse({ granted: 0, free: PREPAID });
    purse.setHoldings(() => ({ isHolder: false, holders: 1 }));
    t.equal(answer(purse, { granted: 0, free: PREPAID }, 100).accounts[0]!.wanted, 0);
    purse.addWaiting("a", 700);
    t.equal(answer(purse, { granted: 700, free: PREPAID }, 200).accounts[0]!.wanted, 700, "but for what waits");
    purse.addWaiting("a", -700);
    purse.lend("a", 5_000, MOST_URGENT, true, 300);
    const wanted = answer(purse, { granted: 0, free: PREPAID }, 400).accounts[0]!.wanted;
    t.ok(wanted > 5_000, `${wanted} wanted`);
    t.end();
});

void t.test("a holder lends its group also what it would keep back from others", t => {
    const lender = createPurse({ granted: 3_000, free: 0 });
    consumeUrgent(lender, 2_000, 1);
    const lent = lender.lend("a", 1_000, MOST_URGENT, false, 2);
    t.ok(lent < 1_000, "half a second of its own demand is kept back");
    t.equal(lender.lend("a", 1_000, MOST_URGENT, true, 2), 1_000 - lent);
    t.end();
});

void t.test("what is left of a loan goes back, but not while something waits for it, and never from a holder", t => {
    const purse = createPurse({ granted: 0, free: PREPAID });
    purse.addBorrowed("a", 5_000);
    t.same(purse.listLeftOfLoans(), [], "a holder's are its own");
    purse.setHoldings(() => ({ isHolder: false, holders: 1 }));
    t.equal(purse.tryReserve("a", 5_000, MOST_URGENT, 1), "reserved");
    t.same(purse.listLeftOfLoans(), []);
    purse.settle("a", 5_000, 2_000);
    purse.addWaiting("a", 4_000);
    t.same(purse.listLeftOfLoans(), []);
    purse.addWaiting("a", -4_000);
    t.same(purse.listLeftOfLoans(), [{ account: "a", tokens: 3_000 }]);
    purse.returnLoan("a", 3_000);
    t.same(purse.listLeftOfLoans(), []);
    t.equal(purse.tryReserve("a", 1, MOST_URGENT, 1), "short");

    const holder = createPurse({ granted: 0, free: 0 });
    holder.takeReturned("a", 3_000, 1);
    t.equal(holder.tryReserve("a", 3_000, MOST_URGENT, 1), "reserved");
    t.end();
});

void t.test("of many routers, the one that an account's callers come to may hold most of what is free", t => {
    const routers = 68;
    const free = 70_000;
    const wantedBy = (part: number): number => {
        const purse = createPurse({ granted: 30_000, free });
        purse.setHoldings(() => ({ isHolder: true, holders: routers }));
        consumeUrgent(purse, 20_000, 1);
        const { sequence, accounts } = purse.createReport(200, 200, false);
        const grant = { account: "a", granted: 30_000, free, prepaid: PREPAID, writtenOff: 0 };
        purse.applyAnswer(sequence, [{ ...grant, burst: accounts[0]!.burst / part }], 200);
        purse.tryReserve("a", 1, MOST_URGENT, 300);
        return purse.createReport(400, 400, false).accounts[0]!.wanted;
    };
    t.ok(wantedBy(1) > free / 2, "all of the demand is its own");
    t.ok(wantedBy(1 / routers) < free / 6, "one of 68 parts is: as much as in equal parts, whatever was asked of it");
    t.end();
});
