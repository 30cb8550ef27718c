/** Guards against streams that are taken for those of another software version, and against memory without a bound. */
import t from "tap";
import { computeStreamKey, isSameOrigin, StreamOrigins } from "../../src/domain/streamOrigins.js";

const V1 = { service: "s", version: "v1" };
const V2 = { service: "s", version: "v2" };
const KEY = computeStreamKey("acme", "a1");

void t.test("a stream is known until it expires", async t => {
    const origins = new StreamOrigins(10);
    t.equal(origins.record(KEY, V1, 100, 0), true);
    t.same(origins.tryGet(KEY, 99), V1);
    t.equal(origins.tryGet(KEY, 100), undefined);
    origins.evictExpired(100);
    t.equal(origins.getSize(), 0);
});

void t.test("two origins of one stream make it ambiguous for good", async t => {
    const origins = new StreamOrigins(10);
    origins.record(KEY, V1, 100, 0);
    t.equal(origins.record(KEY, V1, 200, 0), false, "the same again is nothing new");
    t.equal(origins.record(KEY, V2, 100, 0), true);
    t.equal(origins.record(KEY, V1, 100, 0), false);
    t.equal(origins.tryGet(KEY, 150), "ambiguous", "as long as the later report says");
});

void t.test("an ambiguous report overrides a known origin", async t => {
    const origins = new StreamOrigins(10);
    origins.record(KEY, V1, 100, 0);
    origins.record(KEY, "ambiguous", 100, 0);
    t.equal(origins.tryGet(KEY, 0), "ambiguous");
});

void t.test("an attempt id that returns after its stream has expired names a new stream", async t => {
    const origins = new StreamOrigins(10);
    origins.record(KEY, V1, 100, 0);
    origins.record(KEY, V2, 300, 150);
    t.same(origins.tryGet(KEY, 200), V2);
});

void t.test("beyond the maximum the oldest stream is forgotten", async t => {
    const origins = new StreamOrigins(2);
    ["a1", "a2", "a3"].forEach(id => origins.record(computeStreamKey(undefined, id), V1, 100, 0));
    t.equal(origins.getSize(), 2);
    t.equal(origins.tryGet(computeStreamKey(undefined, "a1"), 0), undefined);
    t.same(origins.tryGet(computeStreamKey(undefined, "a3"), 0), V1);
});

void t.test("streams that an upstream began before a time keep their origin", async t => {
    const origins = new StreamOrigins(10);
    const [early, late, other] = ["a1", "a2", "a3"].map(id => computeStreamKey("acme", id));
    origins.record(early!, V1, 1_000, 10, "u1");
    origins.record(late!, V1, 1_000, 20, "u1");
    origins.record(other!, V1, 1_000, 20, "u2");
    t.same(origins.markAmbiguous("u1", 20), [late]);
    t.same([early, late, other].map(key => origins.tryGet(key!, 30)), [V1, "ambiguous", V1]);
});

void t.test("an account cannot name the stream of another", async t => {
    t.not(computeStreamKey("acme", "a1"), computeStreamKey("other", "a1"));
    t.not(computeStreamKey(undefined, "a1"), computeStreamKey("null", "a1"));
    t.match(KEY, /^[0-9a-f]{16}$/);
});

void t.test("origins differ by service and by version", async t => {
    t.equal(isSameOrigin(V1, { ...V1 }), true);
    t.equal(isSameOrigin(V1, V2), false);
    t.equal(isSameOrigin(V1, { ...V1, service: "x" }), false);
    t.equal(isSameOrigin(V1, "ambiguous"), false);
});
