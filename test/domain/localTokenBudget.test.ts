/** Verifies lending between routers and the tokens that low ranks leave for urgent requests. */
import t from "tap";
import type { PrepaidReportCommand } from "../../src/domain/bundleCommands.js";
import { LocalTokenBudget } from "../../src/domain/localTokenBudget.js";
import { testTokenBudgetOptions } from "../tools/prepaidSimulation.js";

const PREPAID = 100_000;
const MOST_URGENT = 0;
const LEAST_URGENT = 2;
/** Time without an answer after which a router counts as partitioned. */
const OUT_OF_CONTACT_MS = testTokenBudgetOptions.outOfContactMs + 1_000;

interface Grant {
    readonly granted: number;
    readonly free: number;
    readonly writtenOff?: number;
}

/** Creates a purse whose first report was answered with `grant`. */
function createPurse(grant: Grant): LocalTokenBudget {
    // Waiting for the whole grant permits its immediate commitment, so that only the grant and the ranks limit
    // reservations.
    const purse = new LocalTokenBudget("r1", "i1", testTokenBudgetOptions);
    purse.setLimits([{ account: "a", tokens: PREPAID }]);
    purse.addWaiting("a", grant.granted);
    exchangeReport(purse, grant, 0);
    purse.addWaiting("a", -grant.granted);
    return purse;
}

function exchangeReport(
    purse: LocalTokenBudget,
    { granted, free, writtenOff = 0 }: Grant,
    now: number,
): PrepaidReportCommand {
    const report = purse.createReport(now, now, false);
    purse.applyAnswer(report.sequence, [{ account: "a", granted, free, prepaid: PREPAID, writtenOff, burst: 0 }], now);
    return report;
}

/** Reserves and consumes tokens, so that the purse measures urgent demand. */
function consumeUrgent(purse: LocalTokenBudget, tokens: number, now: number): void {
    t.equal(purse.tryReserve("a", tokens, MOST_URGENT, now), "reserved");
    purse.settle("a", tokens, tokens);
}

void t.test("a loan is limited to the lender's available tokens", t => {
    const lender = createPurse({ granted: 3_000, free: 0 });
    t.equal(lender.lend("a", 2_000, MOST_URGENT, false, 1), 2_000);
    t.equal(lender.lend("a", 2_000, MOST_URGENT, false, 1), 1_000, "the remaining tokens");
    t.equal(lender.lend("a", 2_000, MOST_URGENT, false, 1), 0, "no tokens remain");
    t.equal(lender.tryReserve("a", 1, MOST_URGENT, 1), "exhausted", "lent tokens count as spent");
    t.end();
});

void t.test("loans of several routers together cover a reservation", t => {
    const borrower = createPurse({ granted: 1_000, free: 0 });
    t.equal(borrower.getShortfall("a", 6_000, MOST_URGENT, 1), 5_000);
    borrower.addBorrowed("a", 3_000);
    t.equal(borrower.getShortfall("a", 6_000, MOST_URGENT, 1), 2_000);
    borrower.addBorrowed("a", 2_000);
    t.equal(borrower.tryReserve("a", 6_000, MOST_URGENT, 1), "reserved");
    t.end();
});

void t.test("low ranks leave tokens for urgent requests during a partition", t => {
    const purse = createPurse({ granted: 30_000, free: 0 });
    consumeUrgent(purse, 10_000, 1);
    t.equal(purse.tryReserve("a", 16_000, LEAST_URGENT, OUT_OF_CONTACT_MS), "short", "reserved for urgent requests");
    t.equal(purse.tryReserve("a", 16_000, MOST_URGENT, OUT_OF_CONTACT_MS), "reserved");
    t.end();
});

void t.test("low ranks leave no tokens while the grant can be refilled", t => {
    const purse = createPurse({ granted: 30_000, free: 0 });
    consumeUrgent(purse, 10_000, 1);
    t.equal(purse.tryReserve("a", 16_000, LEAST_URGENT, 2), "reserved");
    t.end();
});

void t.test("low ranks leave tokens for urgent requests if too many were written off", t => {
    const purse = createPurse({ granted: 30_000, free: 0, writtenOff: PREPAID / 2 });
    consumeUrgent(purse, 10_000, 1);
    t.equal(purse.tryReserve("a", 16_000, LEAST_URGENT, 2), "short", "reserved for urgent requests");
    t.equal(purse.tryReserve("a", 16_000, MOST_URGENT, 2), "reserved");
    t.end();
});

void t.test("a borrower keeps no rank reserve of a loan", t => {
    for (const grant of [{ granted: 0, free: 0 }, { granted: 0, free: 0, writtenOff: PREPAID / 2 }]) {
        const purse = createPurse(grant);
        purse.setHoldings(() => ({ isHolder: false, holders: 1 }));
        purse.addBorrowed("a", 10_000);
        consumeUrgent(purse, 10_000, 1);
        for (const now of [2, OUT_OF_CONTACT_MS]) {
            purse.addBorrowed("a", 1_500);
            t.equal(purse.getShortfall("a", 1_500, LEAST_URGENT, now), 0);
            t.equal(purse.tryReserve("a", 1_500, LEAST_URGENT, now), "reserved");
        }
    }
    t.end();
});

void t.test("the state for logs includes the values that determine reservations", t => {
    const purse = createPurse({ granted: 5_000, free: 700 });
    t.equal(purse.tryReserve("a", 1_000, MOST_URGENT, 10), "reserved");
    t.same(purse.tryGetState("a", 10), { granted: 5_000, charged: 1_000, room: 4_000, free: 700, answerAgeMs: 10 });
    t.equal(purse.tryGetState("unknown", 10), undefined);
    t.end();
});

void t.test("a report omits unchanged accounts", t => {
    const purse = new LocalTokenBudget("r1", "i1", testTokenBudgetOptions);
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
    t.same(report(0, false), names, "the first report includes all accounts");
    t.same(report(200, true), names, "repeated because the first was not answered");
    t.same(report(400, true), []);
    purse.tryReserve("account-7", 100, MOST_URGENT, 700);
    t.same(report(800, false), ["account-7"]);
    t.same(report(1_000, true), ["account-7"], "repeated until answered");
    t.same(report(1_200, true), []);
    t.equal(
        report(200 + testTokenBudgetOptions.refreshMs, true).length,
        names.length - 1,
        "refreshed after the interval",
    );
    t.end();
});

void t.test("a borrower requests tokens only for waiting requests, and a holder requests tokens to lend", t => {
    const purse = createPurse({ granted: 0, free: PREPAID });
    purse.setHoldings(() => ({ isHolder: false, holders: 1 }));
    t.equal(exchangeReport(purse, { granted: 0, free: PREPAID }, 100).accounts[0]!.wanted, 0);
    purse.addWaiting("a", 700);
    t.equal(
        exchangeReport(purse, { granted: 700, free: PREPAID }, 200).accounts[0]!.wanted,
        700,
        "for the waiting request",
    );
    purse.addWaiting("a", -700);
    purse.lend("a", 5_000, MOST_URGENT, true, 300);
    const wanted = exchangeReport(purse, { granted: 0, free: PREPAID }, 400).accounts[0]!.wanted;
    t.ok(wanted > 5_000, `${wanted} wanted`);
    t.end();
});

void t.test("a holder lends its reserve only within its group", t => {
    const lender = createPurse({ granted: 3_000, free: 0 });
    consumeUrgent(lender, 2_000, 1);
    const lent = lender.lend("a", 1_000, MOST_URGENT, false, 2);
    t.ok(lent < 1_000, "part of its own demand is not lent to other groups");
    t.equal(lender.lend("a", 1_000, MOST_URGENT, true, 2), 1_000 - lent);
    t.end();
});

void t.test("unused loans are returned, except by holders and while requests wait", t => {
    const purse = createPurse({ granted: 0, free: PREPAID });
    purse.addBorrowed("a", 5_000);
    t.same(purse.listUnusedLoans(), [], "a holder keeps its loans");
    purse.setHoldings(() => ({ isHolder: false, holders: 1 }));
    t.equal(purse.tryReserve("a", 5_000, MOST_URGENT, 1), "reserved");
    t.same(purse.listUnusedLoans(), []);
    purse.settle("a", 5_000, 2_000);
    purse.addWaiting("a", 4_000);
    t.same(purse.listUnusedLoans(), []);
    purse.addWaiting("a", -4_000);
    t.same(purse.listUnusedLoans(), [{ account: "a", tokens: 3_000 }]);
    purse.deductReturnedLoan("a", 3_000);
    t.same(purse.listUnusedLoans(), []);
    t.equal(purse.tryReserve("a", 1, MOST_URGENT, 1), "short");

    const holder = createPurse({ granted: 0, free: 0 });
    holder.addReturnedLoan("a", 3_000, 1);
    t.equal(holder.tryReserve("a", 3_000, MOST_URGENT, 1), "reserved");
    t.end();
});

void t.test("the router that serves all demand of an account may hold most of its free tokens", t => {
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
    t.ok(wantedBy(1) > free / 2, "it has all of the demand");
    t.ok(wantedBy(1 / routers) < free / 6, "its share of the demand equals 1/68");
    t.end();
});
