import t from "tap";
import { ObjectStore } from "../../src/domain/objectStore.js";

void t.test("a resent operation is recognised regardless of the order of its keys", async t => {
    const store = new ObjectStore();
    const first = store.apply({
        type: "putObject",
        operationId: "op",
        operator: "x",
        kind: "clientAccount",
        name: "a",
        expected: 0,
        spec: { keyHashes: [], displayName: "one" },
    }, 5);
    const resent = store.apply({
        spec: { displayName: "one", keyHashes: [] },
        name: "a",
        kind: "clientAccount",
        expected: 0,
        operator: "y",
        operationId: "op",
        type: "putObject",
    }, 6);
    t.same(resent, first);
});

void t.test("an operation id reused for a different change is refused", async t => {
    const store = new ObjectStore();
    store.apply({ type: "putObject", operationId: "op", operator: "x", kind: "clientAccount", name: "a", spec: {} }, 5);
    t.match(
        store.apply(
            { type: "putObject", operationId: "op", operator: "x", kind: "clientAccount", name: "b", spec: {} },
            6,
        ),
        { type: "refused", refusal: { code: "operationReused" } },
    );
});
