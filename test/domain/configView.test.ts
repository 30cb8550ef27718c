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

void t.test("an update that arrives before its snapshot is not applied", async t => {
    const view = new ConfigView();
    const heartbeat: ConfigUpdate = { type: "changes", changes: [], from: 10, revision: 10, confirmed: true, term: 1 };
    t.notOk(view.apply(heartbeat));
    t.notOk(view.isConfirmed());
    t.ok(view.apply(snapshot));
    t.ok(view.tryGet("clientAccount", "a"));
});

void t.test("upstreams of an evacuated zone are out of service until the evacuation is deleted", async t => {
    const view = new ConfigView();
    const createUpstream = (name: string, zone: string, leaving: boolean): DeclaredObject => ({
        kind: "upstream",
        name,
        revision: 9,
        spec: { service: "s", box: name, zone, sidecar: "127.0.0.1:1", url: "http://127.0.0.1:2", slots: 1, leaving },
    });
    const upstreams = [createUpstream("u1", "wien", false), createUpstream("u2", "linz", false)];
    const evacuation: DeclaredObject = { kind: "evacuation", name: "wien", revision: 11, spec: {} };
    const listInService = () => view.getUpstreams("s").filter(u => view.isInService(u)).map(({ name }) => name);
    view.apply({ ...snapshot, changes: [...upstreams, createUpstream("u3", "linz", true)] });
    t.same(listInService(), ["u1", "u2"]);
    view.apply({ ...snapshot, type: "changes", changes: [evacuation], from: 10, revision: 11 });
    t.same(listInService(), ["u2"]);
    const withdrawn = { kind: "evacuation", name: "wien", revision: 12, deleted: true } as const;
    view.apply({ ...snapshot, type: "changes", changes: [withdrawn], from: 11, revision: 12 });
    t.same(listInService(), ["u1", "u2"]);
});

void t.test("an update of an older revision is not applied", async t => {
    const view = new ConfigView();
    view.apply(snapshot);
    t.notOk(view.apply({ ...snapshot, revision: 9, changes: [] }));
    t.ok(view.tryGet("clientAccount", "a"));
    t.equal(view.getRevision(), 10);
});
