/** How long a router's earlier process can have lived: never too short, whatever one clock says. */
import t from "tap";
import type { PrepaidReportCommand } from "../../src/domain/bundleCommands.js";
import { type EntryAge, RouterLives } from "../../src/domain/routerLife.js";

const EARLIER = { index: 7, wallMs: 100_000 };

/** The report of a process that started 2,000 ms after the earlier report, by the router's time of day. */
function createReport(part: Partial<PrepaidReportCommand> = {}): PrepaidReportCommand {
    return {
        type: "reportPrepaid",
        router: "r1",
        incarnation: "i2",
        sequence: 1,
        answered: 0,
        uptimeMs: 500,
        wallMs: 102_500,
        wholeAfterMs: 3_000,
        closing: false,
        accounts: [],
        ...part,
    };
}

function measure(age: EntryAge, report = createReport(), lives = new RouterLives()): number | undefined {
    return lives.measure({ answered: undefined, newest: EARLIER }, report, { answered: undefined, newest: age })
        ?.sinceNewestMs;
}

void t.test("the leader that took the report measures by its own clock alone", t => {
    t.equal(measure({ measuredMs: 1_500, witnessedMs: [] }), 1_040, "1,000 ms with the margins of clocks");
    t.end();
});

void t.test("else the longest span that a clock has seen counts", t => {
    t.equal(measure({ measuredMs: undefined, witnessedMs: [2_500, 2_500] }), 2_140);
    const setBack = createReport({ wallMs: 100_100 });
    t.equal(measure({ measuredMs: undefined, witnessedMs: [100, 2_500] }, setBack), 2_140, "two clocks were set back");
    t.end();
});

void t.test("two clocks are too few to say", t => {
    t.equal(measure({ measuredMs: undefined, witnessedMs: [2_500] }), undefined);
    t.end();
});

void t.test("a router that reported later and was silent for longer is a witness too", t => {
    const lives = new RouterLives();
    const age = { measuredMs: undefined, witnessedMs: [500, 500] };
    const later = { index: 8, wallMs: 200_000 };
    const other = createReport({ router: "r2", wallMs: 209_500 });
    lives.measure({ answered: undefined, newest: later }, other, { answered: undefined, newest: age });
    t.equal(measure(age, createReport(), lives), 9_280);
    const stranger = new RouterLives();
    const before = { index: 6, wallMs: 200_000 };
    stranger.measure({ answered: undefined, newest: before }, other, { answered: undefined, newest: age });
    t.equal(measure(age, createReport(), stranger), 2_140, "one that reported earlier may have been silent for longer");
    t.end();
});

void t.test("where every clock reads earlier than it did, nobody can say", t => {
    const setBack = createReport({ wallMs: 100_100 });
    t.equal(measure({ measuredMs: undefined, witnessedMs: [100, 200, 300] }, setBack), undefined);
    t.end();
});

void t.test("routers' clocks alone are too little to say", t => {
    const lives = new RouterLives();
    const age = { measuredMs: undefined, witnessedMs: [2_500] };
    for (const router of ["r2", "r3", "r4"]) {
        lives.measure({ answered: undefined, newest: { index: 8, wallMs: 100_000 } }, createReport({ router }), {
            answered: undefined,
            newest: age,
        });
    }
    t.equal(measure(age, createReport(), lives), undefined);
    t.end();
});
