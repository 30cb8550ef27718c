/** Verifies that the bound on the lifetime of a replaced router process is never too low, even if clocks step. */
import t from "tap";
import type { PrepaidReportCommand } from "../../src/domain/bundleCommands.js";
import { type EntryAge, PredecessorLifetimes } from "../../src/domain/predecessorLifetimes.js";

const EARLIER_REPORT = { index: 7, wallMs: 100_000 };

/** Creates the report of a process that started 2,000 ms after the earlier report, by the router's wall clock. */
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

function measure(age: EntryAge, report = createReport(), lives = new PredecessorLifetimes()): number | undefined {
    return lives.computePredecessorLifetime({ answered: undefined, newest: EARLIER_REPORT }, report, {
        answered: undefined,
        newest: age,
    })
        ?.sinceNewestMs;
}

void t.test("the leader that appended the report uses only its monotonic clock", t => {
    t.equal(measure({ measuredMs: 1_500, controllerClocksMs: [] }), 1_040, "1,000 ms plus clock margins");
    t.end();
});

void t.test("a new leader uses the longest span of all wall clocks", t => {
    t.equal(measure({ measuredMs: undefined, controllerClocksMs: [2_500, 2_500] }), 2_140);
    const setBack = createReport({ wallMs: 100_100 });
    t.equal(
        measure({ measuredMs: undefined, controllerClocksMs: [100, 2_500] }, setBack),
        2_140,
        "two clocks were set back",
    );
    t.end();
});

void t.test("two clocks are not sufficient", t => {
    t.equal(measure({ measuredMs: undefined, controllerClocksMs: [2_500] }), undefined);
    t.end();
});

void t.test("the downtime of a router that reported later is used as well", t => {
    const lives = new PredecessorLifetimes();
    const age = { measuredMs: undefined, controllerClocksMs: [500, 500] };
    const later = { index: 8, wallMs: 200_000 };
    const other = createReport({ router: "r2", wallMs: 209_500 });
    lives.computePredecessorLifetime({ answered: undefined, newest: later }, other, {
        answered: undefined,
        newest: age,
    });
    t.equal(measure(age, createReport(), lives), 9_280);
    const otherLifetimes = new PredecessorLifetimes();
    const before = { index: 6, wallMs: 200_000 };
    otherLifetimes.computePredecessorLifetime({ answered: undefined, newest: before }, other, {
        answered: undefined,
        newest: age,
    });
    t.equal(
        measure(age, createReport(), otherLifetimes),
        2_140,
        "a router that reported earlier may have been down for longer",
    );
    t.end();
});

void t.test("no bound is available if every clock went backwards", t => {
    const setBack = createReport({ wallMs: 100_100 });
    t.equal(measure({ measuredMs: undefined, controllerClocksMs: [100, 200, 300] }, setBack), undefined);
    t.end();
});

void t.test("the clocks of routers alone are not sufficient", t => {
    const lives = new PredecessorLifetimes();
    const age = { measuredMs: undefined, controllerClocksMs: [2_500] };
    for (const router of ["r2", "r3", "r4"]) {
        lives.computePredecessorLifetime(
            { answered: undefined, newest: { index: 8, wallMs: 100_000 } },
            createReport({ router }),
            {
                answered: undefined,
                newest: age,
            },
        );
    }
    t.equal(measure(age, createReport(), lives), undefined);
    t.end();
});
