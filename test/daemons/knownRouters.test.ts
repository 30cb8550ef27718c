/** The other routers: controllers name different parts of them after a cut. */
import t from "tap";
import { KnownRouters } from "../../src/daemons/directRouter/knownRouters.js";
import type { RouterContact } from "../../src/domain/routerGroups.js";

const [SELF, R2, R3] = ["self", "r2", "r3"].map(address => ({ address, zone: "z" })) as [
    RouterContact,
    RouterContact,
    RouterContact,
];

function listAddresses(known: KnownRouters): string[] {
    return known.list().map(({ address }) => address).sort();
}

void t.test("a router that one controller names is not forgotten because another does not", t => {
    const known = new KnownRouters("self");
    known.record([SELF, R2, R3], 0, 0);
    known.record([SELF, R3], 0, 1_000);
    t.same(listAddresses(known), ["r2", "r3"]);
    t.end();
});

void t.test("one that nobody names is forgotten in time, but not for a cut in which nobody is heard", t => {
    const known = new KnownRouters("self");
    known.record([R2, R3], 0, 0);
    known.record([R3], 20_000, 20_000);
    t.same(listAddresses(known), ["r2", "r3"], "controllers are heard again only now");
    known.record([R3], 20_000, 31_000);
    t.same(listAddresses(known), ["r3"]);
    t.end();
});
