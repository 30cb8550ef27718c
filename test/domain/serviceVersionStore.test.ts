/** Guards against a version that is lost with a snapshot or added twice, and against a list without a bound. */
import t from "tap";
import { MAX_SERVICE_VERSIONS, ServiceVersionStore } from "../../src/domain/serviceVersionStore.js";

function add(store: ServiceVersionStore, version: string, index: number, service = "s"): boolean {
    return store.applyAdd({ type: "addServiceVersion", service, version }, index).isAccepted;
}

void t.test("services with one version are not listed", async t => {
    const store = new ServiceVersionStore();
    add(store, "v1", 1);
    add(store, "", 2, "x");
    t.same(store.createList(), { index: 2, services: [] });
    add(store, "v2", 3);
    t.same(store.createList(), { index: 3, services: [{ service: "s", versions: ["v1", "v2"] }] });
    t.same(store.get("x"), [""]);
});

void t.test("a version that is added again changes nothing", async t => {
    const store = new ServiceVersionStore();
    t.equal(add(store, "v1", 1), true);
    t.equal(add(store, "v1", 2), true);
    t.same(store.createList().index, 1);
});

void t.test("a removed version leaves a service with one version", async t => {
    const store = new ServiceVersionStore();
    add(store, "v1", 1);
    add(store, "v2", 2);
    store.applyRemove({ type: "removeServiceVersion", service: "s", version: "v1" }, 3);
    store.applyRemove({ type: "removeServiceVersion", service: "s", version: "v1" }, 4);
    t.same(store.createList(), { index: 3, services: [] });
    t.equal(store.has("s", "v1"), false);
    store.applyRemove({ type: "removeServiceVersion", service: "s", version: "v2" }, 5);
    t.same(store.listAll(), []);
});

void t.test("a service has a limited number of versions", async t => {
    const store = new ServiceVersionStore();
    for (let i = 0; i < MAX_SERVICE_VERSIONS; i++) {
        t.equal(add(store, `v${i}`, i + 1), true);
    }
    t.equal(add(store, "one more", 1_000), false);
    t.equal(add(store, "v0", 1_001), true, "a known one is accepted");
});

void t.test("a snapshot keeps all versions and the index", async t => {
    const store = new ServiceVersionStore();
    add(store, "v1", 1);
    add(store, "v2", 2);
    const restored = new ServiceVersionStore();
    restored.loadSnapshot(
        JSON.parse(JSON.stringify(store.createSnapshot())) as ReturnType<typeof store.createSnapshot>,
    );
    t.same(restored.createList(), store.createList());
    t.equal(restored.has("s", "v2"), true);
});
