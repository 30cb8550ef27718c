/** Guards against routers of different versions that prefer different upstreams for the same prompt. */
import t from "tap";
import { chooseByRendezvous, tryChooseFirstByRendezvous } from "../../src/domain/identifiers.js";

void t.test("the first member by rendezvous hashing is that of the whole order", t => {
    for (let i = 0; i < 200; i++) {
        const members = Array.from({ length: 1 + i % 40 }, (_, k) => `upstream-${(k * 7_919 + i) % 1_000}`);
        t.equal(tryChooseFirstByRendezvous(`key-${i}`, members), chooseByRendezvous(`key-${i}`, members, 1)[0]);
    }
    t.equal(tryChooseFirstByRendezvous("key", []), undefined);
    t.end();
});
