/** A report of ended upstreams is made again until a controller takes it; what comes meanwhile is bounded. */
import t from "tap";
import { KnownSuspects } from "../../src/daemons/directRouter/knownSuspects.js";
import { UpstreamEndReporter } from "../../src/daemons/directRouter/upstreamEndReporter.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { type EndReport, MOST_REPORTED_ENDS } from "../../src/protocol/fleetMethods.js";
import { KeptLog } from "../tools/fakes.js";
import { waitUntil } from "../tools/waiting.js";

const CONTROLLERS = ["c1", "c2"];
const FINGERPRINT = "0123456789abcdef";

/** Takes reports once it is told to. */
class ReportNetwork extends PeerNetwork {
    readonly taken: EndReport[] = [];
    asked = 0;
    isTaking = false;

    override connect(address: string): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone", address)));
    }
    override async call<P, R>(_address: string, _method: PeerMethod<P, R>, params: P): Promise<R> {
        this.asked += 1;
        if (!this.isTaking) {
            throw new RefusalError(createRefusal("noMajority"));
        }
        this.taken.push((params as { report: EndReport; }).report);
        return Promise.resolve({ index: 1 } as R);
    }
}

void t.test("ends and cleared requests are told until they are taken, and then no more", async t => {
    const network = new ReportNetwork();
    const log = new KeptLog();
    const options = { callTimeoutMs: 100, retryMs: 1 };
    const reporter = new UpstreamEndReporter(network, new SystemClock(), log, () => CONTROLLERS, options);
    const requests = [{ fingerprint: FINGERPRINT, hasBegun: true }];
    void reporter.run();
    for (let i = 0; i < MOST_REPORTED_ENDS + 1; i++) {
        reporter.addEnd({ life: `u@${i}`, brokenAt: performance.now(), requests });
    }
    reporter.addCleared(FINGERPRINT);
    reporter.addCleared(FINGERPRINT);
    t.match(log.warnings, [{ event: "upstream_end_not_reported", life: `u@${MOST_REPORTED_ENDS}` }]);
    await waitUntil("both controllers were asked again", () => network.asked > 2 * CONTROLLERS.length);
    network.isTaking = true;
    await waitUntil("the report was taken", () => network.taken.length > 0);
    t.equal(network.taken[0]!.ends.length, MOST_REPORTED_ENDS);
    t.match(network.taken[0]!.ends[0], { life: "u@0", requests });
    t.same(network.taken[0]!.cleared, [FINGERPRINT]);
    reporter.addEnd({ life: "later", brokenAt: performance.now(), requests });
    await waitUntil("the next report", () => network.taken.length > 1);
    t.same(network.taken[1]!.ends.map(({ life }) => life), ["later"]);
    t.same(network.taken[1]!.cleared, []);
    reporter.stop();
});

void t.test("a controller that is behind another changes nothing; what is held against a request runs out", async t => {
    const known = new KnownSuspects();
    t.ok(known.isEmpty());
    const suspect = { fingerprint: FINGERPRINT, isCulprit: true, leftMs: 500 };
    known.receive({ index: 7, suspects: [suspect] }, 1_000);
    known.receive({ index: 5, suspects: [] }, 1_100);
    t.equal(known.tryGetLeftMs(FINGERPRINT, 1_200), 300);
    t.equal(known.tryGetLeftMs(FINGERPRINT, 1_500), undefined);
    known.receive({ index: 8, suspects: [{ ...suspect, isCulprit: false }] }, 1_200);
    t.equal(known.tryGetLeftMs(FINGERPRINT, 1_200), undefined);
    t.ok(known.isSuspect(FINGERPRINT));
    known.receive({ index: 9, suspects: [] }, 1_300);
    t.ok(known.isEmpty());
});
