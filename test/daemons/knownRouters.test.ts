/** The other routers: controllers name different parts of them after a cut. */
import t from "tap";
import { KnownRouters } from "../../src/daemons/directRouter/knownRouters.js";

void t.test("a router that one controller names is not forgotten because another does not", t => {
    const known = new KnownRouters("self");
    known.record(["self", "r2", "r3"], 0, 0);
    known.record(["self", "r3"], 0, 1_000);
    t.same(known.list().sort(), ["r2", "r3"]);
    t.end();
});

void t.test("one that nobody names is forgotten in time, but not for a cut in which nobody is heard", t => {
    const known = new KnownRouters("self");
    known.record(["r2", "r3"], 0, 0);
    known.record(["r3"], 20_000, 20_000);
    t.same(known.list().sort(), ["r2", "r3"], "controllers are heard again only now");
    known.record(["r3"], 20_000, 31_000);
    t.same(known.list(), ["r3"]);
    t.end();
});
