import t from "tap";
import { ConfigView } from "../../src/domain/configView.js";
import type { DeclaredObject } from "../../src/domain/objects.js";
import type { ConfigUpdate } from "../../src/protocol/configMethods.js";

const account: DeclaredObject = {
    kind: "clientAccount",
    name: "a",
    revision: 9,
    spec: { keyHashes: [], suspended: false },
};
const snapshot: ConfigUpdate = {
    type: "snapshot",
    changes: [account],
    from: 0,
    revision: 10,
    confirmed: true,
    term: 1,
};

void t.test("an update that overtakes its snapshot does not stand in for it", async t => {
    const view = new ConfigView();
    const heartbeat: ConfigUpdate = { type: "changes", changes: [], from: 10, revision: 10, confirmed: true, term: 1 };
    t.notOk(view.apply(heartbeat));
    t.notOk(view.isConfirmed());
    t.ok(view.apply(snapshot));
    t.ok(view.tryGet("clientAccount", "a"));
});

void t.test("nothing older is ever taken", async t => {
    const view = new ConfigView();
    view.apply(snapshot);
    t.notOk(view.apply({ ...snapshot, revision: 9, changes: [] }));
    t.ok(view.tryGet("clientAccount", "a"));
    t.equal(view.getRevision(), 10);
});
