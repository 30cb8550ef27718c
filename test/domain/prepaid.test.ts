/** Prepaid tokens: never past the limit whatever is lost, late, cut off or killed; and what a dead router leaves. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t, { type Test } from "tap";
import type { PrepaidReportCommand } from "../../src/domain/bundleCommands.js";
import { PrepaidBook, type PrepaidResult } from "../../src/domain/prepaidBook.js";
import { PrepaidWorld } from "../tools/prepaidWorld.js";

const SEEDS = 100;
const STEPS = 1_000;

function createReport(part: Partial<PrepaidReportCommand>, committed: number): PrepaidReportCommand {
    return {
        type: "reportPrepaid",
        router: "r1",
        incarnation: "i1",
        sequence: 1,
        answered: 0,
        uptimeMs: 1_000,
        wallMs: 1_000,
        wholeAfterMs: 3_000,
        closing: false,
        accounts: [{ account: "a", committed, burst: 100, perSecond: 50, ceiling: 1_000, wanted: 1_000 }],
        ...part,
    };
}

/** Takes the first two reports of another incarnation: it replaces the earlier one when it is known to have an answer. */
function startAnew(book: PrepaidBook, index: number, part: Partial<PrepaidReportCommand>): PrepaidResult {
    const challenge = createReport({ incarnation: "i2", ...part }, 0);
    t.match(book.applyReport(challenge, index), { taken: false, awaitsConfirmation: true, accounts: [] });
    return book.applyReport({ ...challenge, sequence: 2, answered: 1 }, index + 1);
}

function createBook(): PrepaidBook {
    const book = new PrepaidBook();
    book.applyLimits([{ account: "a", tokens: 10_000 }]);
    return book;
}

/** Plays all seeds. `holder`: the router that holds all accounts for the others, if one does. */
function playWorlds(t: Test, holder: string | undefined, hasLateLoans = false): void {
    for (let seed = 1; seed <= SEEDS; seed++) {
        const generator = xoroshiro128plus(seed);
        const world = new PrepaidWorld(() => (generator.next() >>> 0) / 2 ** 32, holder, hasLateLoans);
        try {
            for (let step = 0; step < STEPS; step++) {
                world.step();
            }
        }
        catch (error) {
            t.fail(`seed ${seed}: ${String(error)}`);
        }
    }
    t.end();
}

void t.test("no account is overspent in any of the seeded worlds", t => playWorlds(t, undefined));

void t.test("none is overspent either where one router holds the accounts for all", t => playWorlds(t, "r2"));

void t.test("... nor where loans come after their requests have been refused", t => playWorlds(t, "r2", true));

void t.test("a router that runs anew gives back what its predecessor cannot have spent", t => {
    const book = createBook();
    book.applyReport(createReport({}, 0), 1);
    book.applyReport(createReport({ sequence: 2, answered: 1 }, 300), 2);
    t.equal(book.getFree("a"), 10_000 - 1_300);
    const predecessor = { sinceAnsweredMs: 2_000, sinceNewestMs: 1_000 };
    startAnew(book, 3, { predecessor });
    // At most 300 + 100 + 50 a second for one second by its newest report.
    t.equal(book.getFree("a"), 10_000 - 450 - 1_000);
    t.equal(book.listScarcest(1)[0]!.writtenOff, 150, "beyond what it had reported");
    book.checkConservation();
    t.end();
});

void t.test("where nobody can say how long it lived, all it was granted counts as spent", t => {
    const book = createBook();
    book.applyReport(createReport({}, 0), 1);
    startAnew(book, 2, {});
    t.equal(book.getFree("a"), 10_000 - 1_000 - 1_000);
    t.end();
});

void t.test("what was written off is told to routers and outlives a snapshot", t => {
    const book = createBook();
    book.applyReport(createReport({}, 0), 1);
    startAnew(book, 2, {});
    const copy = new PrepaidBook();
    copy.loadSnapshot(book.createSnapshot());
    const result = copy.applyReport(createReport({ incarnation: "i2", sequence: 3 }, 0), 4);
    t.equal(result.accounts[0]!.writtenOff, 1_000);
    t.same(copy.listScarcest(1), book.listScarcest(1));
    t.end();
});

void t.test("a late report of an incarnation that has ended opens nothing", t => {
    const book = createBook();
    book.applyReport(createReport({}, 0), 1);
    startAnew(book, 2, {});
    t.equal(book.applyReport(createReport({ sequence: 5 }, 0), 3).taken, false);
    book.checkConservation();
    t.end();
});

void t.test("a planned stop gives back the rest", t => {
    const book = createBook();
    book.applyReport(createReport({}, 0), 1);
    book.applyReport(createReport({ sequence: 2, answered: 1, closing: true }, 250), 2);
    t.equal(book.getFree("a"), 10_000 - 250);
    t.equal(book.listScarcest(1)[0]!.writtenOff, 0);
    t.end();
});

void t.test("the first report of a process that has died does not end the one that has taken its place", t => {
    const book = createBook();
    book.applyReport(createReport({ incarnation: "i2" }, 0), 1);
    t.equal(book.applyReport(createReport({ incarnation: "i1" }, 0), 2).taken, false, "late, and never answered");
    t.equal(book.applyReport(createReport({ incarnation: "i2", sequence: 2, answered: 1 }, 100), 3).taken, true);
    t.equal(book.getFree("a"), 10_000 - 1_100);
    t.end();
});

void t.test("an incarnation that was answered but overtaken by a newer one stays out", t => {
    const book = createBook();
    book.applyReport(createReport({}, 0), 1);
    book.applyReport(createReport({ incarnation: "i2" }, 0), 2);
    book.applyReport(createReport({ incarnation: "i3" }, 0), 3);
    t.equal(book.applyReport(createReport({ incarnation: "i3", sequence: 2, answered: 1 }, 0), 4).taken, true);
    const late = book.applyReport(createReport({ incarnation: "i2", sequence: 2, answered: 1 }, 0), 5);
    t.match(late, { taken: false, awaitsConfirmation: false });
    book.checkConservation();
    t.end();
});

void t.test("after a long silence all of a grant may have been spent", t => {
    const book = createBook();
    book.applyReport(createReport({}, 0), 1);
    const predecessor = { sinceAnsweredMs: 0, sinceNewestMs: 3_000 };
    startAnew(book, 2, { predecessor });
    t.equal(book.getFree("a"), 10_000 - 1_000 - 1_000);
    t.end();
});

void t.test("an account that a report leaves out stands as the reports before said", t => {
    const book = createBook();
    book.applyReport(createReport({}, 200), 1);
    book.applyReport(createReport({ sequence: 2, answered: 1, accounts: [] }, 0), 2);
    book.applyReport(createReport({ sequence: 3, answered: 2, accounts: [] }, 0), 3);
    t.equal(book.getFree("a"), 10_000 - 1_200, "the grant stays");
    startAnew(book, 4, { predecessor: { sinceAnsweredMs: 1_000, sinceNewestMs: 1_000 } });
    // 200 committed, a burst of 100 and 50 a second for one second, counted from the reports that left the account out.
    t.equal(book.getFree("a"), 10_000 - 350 - 1_000);
    book.checkConservation();
    t.end();
});

void t.test("an answer tells the demand of all routers that may still spend", t => {
    const book = createBook();
    t.equal(book.applyReport(createReport({}, 0), 1).accounts[0]!.burst, 100);
    t.equal(book.applyReport(createReport({ router: "r2", incarnation: "j1" }, 0), 2).accounts[0]!.burst, 200);
    const copy = new PrepaidBook();
    copy.loadSnapshot(book.createSnapshot());
    copy.checkConservation();
    t.equal(copy.applyReport(createReport({ sequence: 2, answered: 1 }, 0), 3).accounts[0]!.burst, 200);
    book.applyReport(createReport({ sequence: 2, answered: 1, closing: true }, 0), 3);
    const left = createReport({ router: "r2", incarnation: "j1", sequence: 2, answered: 1 }, 0);
    t.equal(book.applyReport(left, 4).accounts[0]!.burst, 100);
    book.checkConservation();
    t.end();
});
