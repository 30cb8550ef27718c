/** Guards against too many load notices, missing ones, and notices to routers that must not use them. */
import t from "tap";
import { RouterLinks } from "../../src/daemons/directRouter/routerLinks.js";
import { MAX_NOTIFIED_ROUTERS, RouterLoadNotifier } from "../../src/daemons/directRouter/routerLoadNotifier.js";
import type { RouterLoad } from "../../src/domain/connectionRelayPolicy.js";
import { NoLog } from "../../src/ports/log.js";
import { PeerNetwork } from "../../src/ports/peer.js";

class UnusedNetwork extends PeerNetwork {
    override connect(): Promise<never> {
        return Promise.reject(new Error("not used"));
    }
}

/** Records the notices to each router. */
class RecordingLinks extends RouterLinks {
    readonly notices: { address: string; load: RouterLoad; }[] = [];
    isConnected = true;

    constructor() {
        super(new UnusedNetwork(), new NoLog());
    }

    override tryNotify<P>(address: string, _method: unknown, params: P): boolean {
        if (this.isConnected) {
            this.notices.push({ address, load: params as RouterLoad });
        }
        return this.isConnected;
    }
}

function createNotifier() {
    const links = new RecordingLinks();
    const load = { address: "r1", relayAddress: "r1:1", revision: 1, utilization: 0.1, cores: 0.2, isAccepting: true };
    const neighbours = new Map<string, number>();
    const notifier = new RouterLoadNotifier(
        { address: "r1", zone: "a" },
        0.6,
        links,
        () => load,
        address => neighbours.get(address),
    );
    notifier.setOthers([{ address: "r2", zone: "a" }, { address: "r3", zone: "b" }]);
    /** Samples for a while and returns the times of the notices. */
    const run = (fromMs: number, toMs: number): number[] => {
        const times: number[] = [];
        for (let now = fromMs; now < toMs; now += 100) {
            const before = links.notices.length;
            notifier.sendDue(now);
            times.push(...links.notices.slice(before).map(() => now));
        }
        return times;
    };
    return { links, load, neighbours, notifier, run };
}

void t.test("routers that are not loaded send no notices", t => {
    const { run, neighbours } = createNotifier();
    neighbours.set("r2", 0.3);
    t.same(run(0, 5_000), []);
    t.end();
});

void t.test("a loaded router, and one whose neighbour is loaded, send a notice each second to their own zone", t => {
    const { run, neighbours, load, links } = createNotifier();
    neighbours.set("r2", 0.9);
    t.same(run(0, 3_000), [0, 1_000, 2_000]);
    neighbours.clear();
    load.utilization = 0.5;
    t.same(run(3_000, 5_000), [3_000, 4_000]);
    t.same([...new Set(links.notices.map(({ address }) => address))], ["r2"]);
    t.end();
});

void t.test("a changed utilization is sent at once, at most five times per second, with 2 decimals", t => {
    const { run, load, links } = createNotifier();
    load.utilization = 0.5;
    run(0, 300);
    load.utilization = 0.612345;
    t.same(run(300, 400), [300]);
    t.equal(links.notices.at(-1)!.load.utilization, 0.61);
    load.utilization = 0.55;
    t.same(run(400, 1_000), [], "changed by less than 0.1");
    let sentCount = 0;
    for (let now = 2_000; now < 3_000; now += 100) {
        load.utilization = 1.4 - load.utilization;
        sentCount += run(now, now + 100).length;
    }
    t.ok(sentCount > 1 && sentCount <= 5, `${sentCount} in a second`);
    t.end();
});

void t.test("a new revision, and the beginning of a stop, are sent at once to those that have had a notice", t => {
    const { run, load } = createNotifier();
    load.utilization = 0.5;
    run(0, 100);
    load.revision = 2;
    t.same(run(100, 200), [100]);
    load.isAccepting = false;
    t.same(run(200, 300), [200]);
    t.end();
});

void t.test("a notice that could not be sent is sent with the next sample", t => {
    const { run, load, links } = createNotifier();
    load.utilization = 0.9;
    links.isConnected = false;
    t.same(run(0, 200), []);
    links.isConnected = true;
    t.same(run(200, 300), [200]);
    t.end();
});

void t.test("at most 16 routers are notified", t => {
    const { run, load, notifier, links } = createNotifier();
    load.utilization = 0.9;
    notifier.setOthers(Array.from({ length: 40 }, (_, i) => ({ address: `r${i + 2}`, zone: "a" })));
    run(0, 100);
    t.ok(links.notices.length > 4 && links.notices.length <= MAX_NOTIFIED_ROUTERS, `${links.notices.length} notified`);
    t.end();
});
