/** Guards against losing routers while controllers report incomplete lists after a network partition. */
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

void t.test("a router listed by one controller is kept if another does not list it", t => {
    const known = new KnownRouters("self");
    known.record([SELF, R2, R3], 0, 0);
    known.record([SELF, R3], 0, 1_000);
    t.same(listAddresses(known), ["r2", "r3"]);
    t.end();
});

void t.test("an unlisted router is removed after the retention period, which excludes time without contact", t => {
    const known = new KnownRouters("self");
    known.record([R2, R3], 0, 0);
    known.record([R3], 20_000, 20_000);
    t.same(listAddresses(known), ["r2", "r3"], "contact with controllers has only just resumed");
    known.record([R3], 20_000, 31_000);
    t.same(listAddresses(known), ["r3"]);
    t.end();
});
