/** Guards against lost or repeated crash reports, an unbounded report queue, and outdated lists of suspect requests. */
import t from "tap";
import { KnownSuspects } from "../../src/daemons/directRouter/knownSuspects.js";
import { UpstreamEndReporter } from "../../src/daemons/directRouter/upstreamEndReporter.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { type EndReport, MAX_REPORTED_ENDS, NO_FINGERPRINT } from "../../src/protocol/fleetMethods.js";
import { KeptLog } from "../tools/fakes.js";
import { waitUntil } from "../tools/waiting.js";

const CONTROLLERS = ["c1", "c2"];
const FINGERPRINT = "0123456789abcdef";

/** Rejects reports until `isAccepting` is set. */
class ReportNetwork extends PeerNetwork {
    readonly acceptedReports: EndReport[] = [];
    callCount = 0;
    isAccepting = false;

    override connect(address: string): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone", address)));
    }
    override async call<P, R>(_address: string, _method: PeerMethod<P, R>, params: P): Promise<R> {
        this.callCount += 1;
        if (!this.isAccepting) {
            throw new RefusalError(createRefusal("noMajority"));
        }
        this.acceptedReports.push((params as { report: EndReport; }).report);
        return Promise.resolve({ index: 1 } as R);
    }
}

void t.test("crashes and cleared requests are reported until accepted, and only once", async t => {
    const network = new ReportNetwork();
    const log = new KeptLog();
    const options = { callTimeoutMs: 100, retryMs: 1 };
    const reporter = new UpstreamEndReporter(network, new SystemClock(), log, () => CONTROLLERS, options);
    const requests = [{ fingerprint: FINGERPRINT, hasBegun: true }];
    void reporter.run();
    for (let i = 0; i < MAX_REPORTED_ENDS + 1; i++) {
        reporter.addEnd({ life: `u@${i}`, interruptedAt: performance.now(), requests });
    }
    reporter.addClearedAttribute({ attribute: "part:x", upTo: 4, request: "r1" });
    reporter.addClearedAttribute({ attribute: "part:x", upTo: 7, request: "r1" });
    t.match(log.warnings, [{ event: "upstream_end_not_reported", life: `u@${MAX_REPORTED_ENDS}` }]);
    await waitUntil("both controllers were called again", () => network.callCount > 2 * CONTROLLERS.length);
    network.isAccepting = true;
    await waitUntil("the report was accepted", () => network.acceptedReports.length > 0);
    t.equal(network.acceptedReports[0]!.ends.length, MAX_REPORTED_ENDS);
    t.match(network.acceptedReports[0]!.ends[0], { life: "u@0", requests });
    t.same(network.acceptedReports[0]!.clearedAttributes, [{ attribute: "part:x", upTo: 7 }]);
    reporter.addClearedAttribute({ attribute: "part:x", upTo: 7, request: "r1" });
    reporter.addEnd({ life: "later", interruptedAt: performance.now(), requests });
    await waitUntil("the next report", () => network.acceptedReports.length > 1);
    t.same(network.acceptedReports[1]!.ends.map(({ life }) => life), ["later"]);
    t.same(network.acceptedReports[1]!.clearedAttributes, []);
    reporter.addClearedAttribute({ attribute: "part:x", upTo: 8, request: "r1" });
    await waitUntil("a report on newer ends", () => network.acceptedReports.length > 2);
    t.same(network.acceptedReports[2]!.clearedAttributes, [{ attribute: "part:x", upTo: 8 }]);
    reporter.stop();
});

void t.test("an outdated list of suspects is ignored, and a quarantine expires", async t => {
    const known = new KnownSuspects(0);
    t.ok(known.isEmpty());
    const suspect = { fingerprint: FINGERPRINT, isCulprit: true, leftMs: 500 };
    known.update({ index: 7, suspects: [suspect] }, 1_000);
    known.update({ index: 5, suspects: [] }, 1_100);
    const attributes = [`content:${FINGERPRINT}`, "route:r"];
    t.same(known.tryGetQuarantine(attributes, 1_200), { attributes: [attributes[0]], remainingMs: 300 });
    t.equal(known.tryGetQuarantine(attributes, 1_500), undefined);
    known.update({ index: 8, suspects: [{ ...suspect, isCulprit: false }] }, 1_200);
    t.equal(known.tryGetQuarantine(attributes, 1_200), undefined);
    t.same(known.filterSuspect(attributes), [attributes[0]]);
    known.update({ index: 9, suspects: [] }, 1_300);
    t.ok(known.isEmpty());
});

void t.test("a quarantine blocks only requests that have all of its attributes", async t => {
    const known = new KnownSuspects(0);
    const culprit = { fingerprint: NO_FINGERPRINT, attributes: ["account:a", "part:x"], isCulprit: true, leftMs: 500 };
    const shorter = { ...culprit, attributes: ["part:x"], leftMs: 100 };
    known.update({ index: 1, suspects: [culprit, shorter] }, 0);
    t.equal(known.tryGetQuarantine(["account:a", "part:y"], 0), undefined);
    t.equal(known.tryGetQuarantine(["account:b", "part:x"], 0)?.remainingMs, 100);
    t.equal(known.tryGetQuarantine(["account:a", "part:y", "part:x"], 0)?.remainingMs, 500, "the longest counts");
    t.notOk(known.hasContentAttributes());
});
