/** Guards against streams that controllers do not know of when they are resumed at another router. */
import t from "tap";
import { createOrigin, StreamOriginReporter } from "../../src/daemons/directRouter/streamOriginReporter.js";
import { computeStreamKey, type OriginReport } from "../../src/domain/streamOrigins.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { originNoticeMethod } from "../../src/protocol/streamMethods.js";
import { ControllerNetwork } from "../tools/controllerNetwork.js";
import { KeptLog } from "../tools/fakes.js";
import { createStreamRequest, createVersionedUpstream, STREAM_ORIGINS } from "../tools/streamRequests.js";
import { wait } from "../tools/waiting.js";

const CONTROLLERS = ["c1", "c2", "c3"];
const UPSTREAM = createVersionedUpstream("u1", "v1");
const ORIGIN = createOrigin(UPSTREAM);
const REPORT_MS = 20;

function createFixture() {
    const mixed = new Set<string>();
    const network = new ControllerNetwork();
    const log = new KeptLog();
    const reporter = new StreamOriginReporter(
        "r1:1",
        service => mixed.has(service),
        network,
        new SystemClock(),
        log,
        new NoMetrics(),
        STREAM_ORIGINS,
    );
    const getReports = (controller: string): OriginReport[] =>
        network.getPeer(controller).getParams(originNoticeMethod).flatMap(({ streams }) => streams);
    const listHolders = (): string[] => CONTROLLERS.filter(controller => getReports(controller).length > 0);
    return { reporter, mixed, network, log, getReports, listHolders };
}

void t.test("nothing is reported while a service has one version", async t => {
    const { reporter, listHolders } = createFixture();
    reporter.setControllers(CONTROLLERS);
    reporter.recordBegun(createStreamRequest("a1"), ORIGIN, UPSTREAM);
    await wait(REPORT_MS);
    t.same(listHolders(), []);
    t.same(reporter.tryGet(createStreamRequest("a2"), "a1"), ORIGIN, "the router itself knows it");
});

void t.test("streams that began before a second version came are reported when it comes", async t => {
    const { reporter, mixed, listHolders, getReports } = createFixture();
    reporter.setControllers(CONTROLLERS);
    reporter.recordBegun(createStreamRequest("a1"), ORIGIN, UPSTREAM);
    mixed.add("s");
    reporter.reportMixedServices();
    await wait(REPORT_MS);
    t.equal(listHolders().length, STREAM_ORIGINS.copies);
    t.match(getReports(listHolders()[0]!), [{ key: computeStreamKey("acme", "a1"), origin: ORIGIN }]);
});

void t.test("a controller that restarted gets all streams again", async t => {
    const { reporter, mixed, listHolders, getReports } = createFixture();
    mixed.add("s");
    reporter.setControllers(CONTROLLERS);
    reporter.recordBegun(createStreamRequest("a1"), ORIGIN, UPSTREAM);
    await wait(REPORT_MS);
    const [holder] = listHolders();
    reporter.recordReconnected(holder!);
    await wait(REPORT_MS);
    t.equal(getReports(holder!).length, 2);
});

void t.test("another controller gets all streams when one is no longer in contact", async t => {
    const { reporter, mixed, listHolders, getReports } = createFixture();
    mixed.add("s");
    reporter.setControllers(CONTROLLERS);
    reporter.recordBegun(createStreamRequest("a1"), ORIGIN, UPSTREAM);
    await wait(REPORT_MS);
    const [lost, kept] = listHolders();
    reporter.setControllers(CONTROLLERS.filter(controller => controller !== lost));
    await wait(REPORT_MS);
    t.same(listHolders(), CONTROLLERS);
    t.equal(getReports(kept!).length, 1, "the other one is not told again");
});

void t.test("a stream keeps the origin that its first event had", async t => {
    const { reporter } = createFixture();
    reporter.recordBegun(createStreamRequest("a1"), ORIGIN, UPSTREAM);
    reporter.recordBegun(
        createStreamRequest("a1"),
        { service: "s", version: "v2" },
        createVersionedUpstream("u2", "v2"),
    );
    t.equal(reporter.tryGet(createStreamRequest("a2"), "a1"), "ambiguous", "an id that was used twice is of no use");
});

void t.test("streams are ambiguous whose upstream comes back under its id with another version", async t => {
    const { reporter, mixed, log, listHolders, getReports } = createFixture();
    mixed.add("s");
    reporter.setControllers(CONTROLLERS);
    reporter.recordBegun(createStreamRequest("a1"), ORIGIN, UPSTREAM);
    await wait(REPORT_MS);
    reporter.recordVersionChange("u1");
    await wait(REPORT_MS);
    t.equal(reporter.tryGet(createStreamRequest("a2"), "a1"), "ambiguous");
    t.same(getReports(listHolders()[0]!).map(({ origin }) => origin), [ORIGIN, "ambiguous"]);
    t.match(log.warnings, [{ event: "stream_origins_ambiguous", upstream: "u1", streams: 1 }]);
});

void t.test("streams of a route with several services are reported although each has one version", async t => {
    const { reporter, listHolders } = createFixture();
    reporter.setControllers(CONTROLLERS);
    reporter.recordBegun(createStreamRequest("a1", {}, ["s", "x"]), ORIGIN, UPSTREAM);
    await wait(REPORT_MS);
    t.equal(listHolders().length, STREAM_ORIGINS.copies);
});

void t.test("an unreachable controller does not keep the other from its reports", async t => {
    const { reporter, mixed, network, listHolders } = createFixture();
    mixed.add("s");
    reporter.setControllers(CONTROLLERS);
    reporter.recordBegun(createStreamRequest("a1"), ORIGIN, UPSTREAM);
    await wait(REPORT_MS);
    const [lost, kept] = listHolders();
    network.unreachable.add(lost!);
    reporter.recordBegun(createStreamRequest("a2"), ORIGIN, UPSTREAM);
    await wait(REPORT_MS);
    const reports = network.getPeer(kept!).getParams(originNoticeMethod).flatMap(({ streams }) => streams);
    t.equal(reports.length, 2);
});
