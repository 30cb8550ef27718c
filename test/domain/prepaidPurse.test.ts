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
    purse.applyAnswer(report.sequence, [{ account: "a", granted, free, prepaid: PREPAID, writtenOff }], now);
    return report;
}

/** Reserves and consumes, so that the purse knows the urgent demand. */
function consumeUrgent(purse: PrepaidPurse, tokens: number, now: number): void {
    t.equal(purse.tryReserve("a", tokens, MOST_URGENT, now), "reserved");
    purse.settle("a", tokens, tokens);
}

void t.test("a loan covers what is missing, as far as the lender can spare it", t => {
    const lender = createPurse({ granted: 3_000, free: 0 });
    t.equal(lender.lend("a", 2_000, MOST_URGENT, 1), 2_000);
    t.equal(lender.lend("a", 2_000, MOST_URGENT, 1), 1_000, "the rest");
    t.equal(lender.lend("a", 2_000, MOST_URGENT, 1), 0, "nothing is left");
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

void t.test("what decided is told for the log", t => {
    const purse = createPurse({ granted: 5_000, free: 700 });
    t.equal(purse.tryReserve("a", 1_000, MOST_URGENT, 10), "reserved");
    t.same(purse.tryGetState("a", 10), { granted: 5_000, charged: 1_000, room: 4_000, free: 700, answerAgeMs: 10 });
    t.equal(purse.tryGetState("unknown", 10), undefined);
    t.end();
});
