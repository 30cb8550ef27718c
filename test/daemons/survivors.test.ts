/** Guards against clearing an attribute at ends that its requests did not survive, and against an unbounded memory. */
import t from "tap";
import { Survivors } from "../../src/daemons/directRouter/survivors.js";
import { NO_FINGERPRINT } from "../../src/protocol/fleetMethods.js";

const SUSPECT = {
    fingerprint: NO_FINGERPRINT,
    attributes: ["account:a", "part:x"],
    isCulprit: false,
    leftMs: 0,
    ends: [{ index: 4, agoMs: 900 }, { index: 7, agoMs: 300 }],
};

void t.test("attributes are cleared at the ends after which a request with them survived", async t => {
    const survivors = new Survivors(10);
    survivors.record(["account:a", "part:y"], "r1", 500);
    t.same(survivors.listCleared(SUSPECT, 1_000), [{ attribute: "account:a", upTo: 4, request: "r1" }]);
    survivors.record(["account:a", "part:x"], "r2", 800);
    t.same(survivors.listCleared(SUSPECT, 1_000), [
        { attribute: "account:a", upTo: 7, request: "r2" },
        { attribute: "part:x", upTo: 7, request: "r2" },
    ]);
    t.same(survivors.listCleared({ ...SUSPECT, ends: undefined }, 1_000), [], "a controller of an earlier version");
});

void t.test("the attributes that have not survived for the longest time are forgotten", async t => {
    const survivors = new Survivors(2);
    survivors.record(["account:a"], "r1", 700);
    survivors.record(["part:x"], "r2", 800);
    survivors.record(["account:a"], "r3", 900);
    survivors.record(["part:y"], "r4", 950);
    t.same(survivors.listCleared(SUSPECT, 1_000), [{ attribute: "account:a", upTo: 7, request: "r3" }]);
});
