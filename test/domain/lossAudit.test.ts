/** The judge of answers lost around planned work: what it counts, and each excuse. */
import t from "tap";
import { LossAudit } from "../tools/lossAudit.js";

const LIMITS = { graceMs: 8_000, settingsMs: 2_000, bundleMs: 2_000, lossSlackMs: 200 } as const;

/** A request to r1 that ends without a whole answer, and what it meets. */
interface Cut {
    readonly sentAt: number;
    readonly endedAt: number;
    readonly runAt?: number;
    readonly runEnd?: { readonly at: number; readonly how: "whole" | "brokenOff" | "callerLeft"; };
    readonly deadlineMs?: number;
}

function recordCut(audit: LossAudit, { sentAt, endedAt, runAt, runEnd, deadlineMs }: Cut, id = "a1"): void {
    audit.recordSent(id, "r1", sentAt);
    if (deadlineMs !== undefined) {
        audit.recordDeadline(id, deadlineMs);
    }
    if (runAt !== undefined) {
        audit.recordRun(id, runAt);
    }
    if (runEnd !== undefined) {
        audit.recordRunEnd(id, runEnd.at, runEnd.how);
    }
    audit.recordAnswerEnd(id, endedAt, false, "reset");
}

function countLosses(cut: Cut, recordWork: (audit: LossAudit) => void): number {
    const audit = new LossAudit(LIMITS);
    recordCut(audit, cut);
    recordWork(audit);
    return audit.listLosses().length;
}

// Guards against a judge that misses answers lost at a stop, or excuses them for other reasons than the rule's.
void t.test("an answer cut at a stop", t => {
    const run = { runAt: 1_100, runEnd: { at: 3_700, how: "callerLeft" } } as const;
    const cut = { sentAt: 1_050, endedAt: 3_700, ...run };
    const stop = (audit: LossAudit) => audit.recordStop("r1", 1_000);
    const expect = (name: string, lost: number, changed: Partial<Cut>, recordWork = stop) =>
        t.equal(countLosses({ ...cut, ...changed }, recordWork), lost, name);
    expect("is lost", 1, {});
    expect("is lost if sent before it", 1, { sentAt: 500 });
    expect("is lost until a second after the grace period", 1, { sentAt: 5_000, endedAt: 9_999 });
    expect("no later", 0, { sentAt: 5_000, endedAt: 10_001 });
    expect("not before", 0, { sentAt: 500, endedAt: 999 });
    expect("not at another router's", 0, {}, audit => audit.recordStop("r2", 1_000));
    expect("not if its upstream broke off", 0, { runEnd: { at: 3_700, how: "brokenOff" } });
    expect("not at its deadline", 0, { deadlineMs: 2_650 });
    expect("is lost before its deadline", 1, { deadlineMs: 2_651 });
    const atWork = { endedAt: 8_300, runEnd: { at: 8_300, how: "callerLeft" } } as const;
    expect("not if its upstream was at work in the last sixth", 0, atWork);
    expect("nor beside a change of settings", 0, atWork, audit => {
        stop(audit);
        audit.recordSettingsChange("r1", 900);
    });
    expect("is lost all the same if sent later than 3 s after it", 1, { ...atWork, sentAt: 4_001 });
    expect("is lost if its upstream had ended by then", 1, { endedAt: 8_300, runEnd: { at: 7_600, how: "whole" } });
    expect("not after a disruption", 0, {}, audit => {
        stop(audit);
        audit.recordDisruption("r1", -2_500, -1_900);
    });
    expect("is lost if the disruption was long before, or elsewhere", 1, {}, audit => {
        stop(audit);
        audit.recordDisruption("all", -4_000, -2_000);
        audit.recordDisruption("r2", 0, 4_000);
    });
    t.end();
});

// Guards against requests that cross the close of their connection being taken for lost ones.
void t.test("a request that was not passed on is lost if its connection closes late", t => {
    const stop = (audit: LossAudit) => audit.recordStop("r1", 0);
    t.equal(countLosses({ sentAt: 1_000, endedAt: 1_200 }, stop), 0);
    t.equal(countLosses({ sentAt: 1_000, endedAt: 1_201 }, stop), 1);
    const runEnd = { at: 1_010, how: "callerLeft" } as const;
    t.equal(countLosses({ sentAt: 1_000, endedAt: 1_010, runAt: 1_005, runEnd }, stop), 1);
    t.end();
});

void t.test("an answer cut after a change of settings is lost if it was sent up to its bound", t => {
    const change = (audit: LossAudit) => audit.recordSettingsChange("r1", 1_000);
    t.equal(countLosses({ sentAt: 3_000, endedAt: 9_000, runAt: 3_001 }, change), 1);
    t.equal(countLosses({ sentAt: 3_001, endedAt: 9_000, runAt: 3_002 }, change), 0);
    t.equal(countLosses({ sentAt: 500, endedAt: 999, runAt: 501 }, change), 0);
    t.end();
});

void t.test("an answer cut beside a configuration is lost unless its time is nearly used, or cuts are as frequent", t => {
    const put = (audit: LossAudit) => audit.recordBundle(1_000, 1_500);
    const cut = { sentAt: 500, endedAt: 4_500, runAt: 600, deadlineMs: 10_000 };
    t.equal(countLosses(cut, put), 1);
    t.equal(countLosses({ ...cut, endedAt: 4_501 }, put), 0, "later");
    t.equal(countLosses({ ...cut, deadlineMs: 5_714 }, put), 0, "seven tenths used");
    t.equal(
        countLosses(cut, audit => {
            put(audit);
            recordCut(audit, { sentAt: 20_000, endedAt: 21_000, runAt: 20_001 }, "later");
        }),
        0,
        "as frequent at other times",
    );
    t.end();
});

void t.test("whole answers are not lost, and a line names the loss", t => {
    const audit = new LossAudit(LIMITS);
    recordCut(audit, { sentAt: 1_200, endedAt: 3_900, runAt: 1_210, runEnd: { at: 3_900, how: "callerLeft" } });
    audit.recordSent("a2", "r1", 1_200);
    audit.recordAnswerEnd("a2", 3_900, true);
    audit.recordStop("r1", 1_000);
    t.same(audit.listLosses(), ["a1 r1: sent 200 ms and ended 2900 ms after SIGTERM, reset"]);
    t.end();
});
