/** Orders of signals, errors and steps of a start and a stop: none leaves a process without an end, or ends it twice. */
import fc from "fast-check";
import t from "tap";
import { type ProcessAction, type ProcessEvent, ProcessStates } from "../../src/domain/processStates.js";

const RUNS = { seed: 73, numRuns: 500 };
const signals = ["stopSignal", "reloadSignal"] as const;
const startSteps = ["taking", "reloadable", "started"] as const;

/** Signals of any number at any time of a start that is otherwise regular. */
const startsWithSignals = fc.array(fc.array(fc.constantFrom(...signals), { maxLength: 3 }), {
    minLength: startSteps.length + 1,
    maxLength: startSteps.length + 1,
}).map(groups => groups.flatMap((group, i) => [...group, ...startSteps.slice(i, i + 1)]));

function run(events: readonly ProcessEvent[]): ProcessAction[] {
    const states = new ProcessStates();
    return events.flatMap(event => states.handle(event));
}

function count(actions: readonly ProcessAction[], type: ProcessAction["type"]): number {
    return actions.filter(action => action.type === type).length;
}

void t.test("a stop signal at any time of a start leads to one stop, or to an end with 0 before the process listens", async t => {
    fc.assert(
        fc.property(startsWithSignals, events => {
            const actions = run(events);
            const stopAt = events.indexOf("stopSignal");
            const isEarly = stopAt !== -1 && stopAt < events.indexOf("taking");
            t.same(
                actions.filter(({ type }) => type === "end"),
                isEarly ? [{ type: "end", status: 0, cause: "stopSignal" }] : [],
            );
            t.equal(count(actions, "stop"), stopAt !== -1 && !isEarly ? 1 : 0);
            t.equal(count(actions, "limitStop"), count(actions, "stop"));
        }),
        RUNS,
    );
});

void t.test("a reload signal during a start is applied once the role can reload", async t => {
    fc.assert(
        fc.property(startsWithSignals.filter(events => !events.includes("stopSignal")), events => {
            const before = events.slice(0, events.indexOf("reloadable")).includes("reloadSignal") ? 1 : 0;
            const after = events.slice(events.indexOf("reloadable")).filter(event => event === "reloadSignal").length;
            t.equal(count(run(events), "reload"), before + after);
        }),
        RUNS,
    );
});

void t.test("whatever follows, a process ends once, and with 0 only after a stop that was asked for and did not fail", async t => {
    const ends = ["stopFailed", "stopTimedOut", "startFailed", "uncaughtError"] as const;
    const anyEvents = fc.array(fc.constantFrom(...signals, ...startSteps, ...ends), { maxLength: 12 });
    fc.assert(
        fc.property(anyEvents, events => {
            const states = new ProcessStates();
            const actions = events.flatMap(event => states.handle(event));
            const all = [...actions, ...(count(actions, "stop") > 0 ? states.handle("stopped") : [])];
            const ended = all.filter(action => action.type === "end");
            t.ok(ended.length <= 1 && count(all, "stop") <= 1);
            t.equal(ended.length, events.some(event => ends.some(end => end === event)) ? 1 : ended.length);
            t.ok(ended.every(end => (end.status === 0) === (end.cause === "stopSignal")));
            t.ok(ended.every(end => end.status !== 0 || events.includes("stopSignal")));
            t.ok(all.findIndex(action => action.type === "end") === -1 || all.at(-1)!.type === "end");
        }),
        RUNS,
    );
});
