/** Guards against limits that are divided among routers that were lost for good and still hold grants. */
import t from "tap";
import { ReportingRouters } from "../../src/domain/reportingRouters.js";

void t.test("a router counts until it has not reported for longer than a network partition lasts", t => {
    const routers = new ReportingRouters();
    routers.recordReport("r1", 0);
    routers.recordReport("r2", 0);
    routers.recordReport("r1", 9_500);
    t.equal(routers.count(9_500), 2, "r2 may be cut off");
    t.equal(routers.count(10_001), 1);
    routers.recordReport("r2", 11_000);
    t.equal(routers.count(11_000), 2, "it has returned");
    t.end();
});

void t.test("a router that has returned its grants does not count", t => {
    const routers = new ReportingRouters();
    routers.recordReport("r1", 0);
    routers.recordReport("r2", 0);
    routers.recordClosed("r1");
    t.equal(routers.count(1), 1);
    t.end();
});

void t.test("a router known from a snapshot counts for a while, and a snapshot does not renew a report", t => {
    const routers = new ReportingRouters();
    routers.recordReport("r1", 0);
    routers.recordGranted("r1", 8_000);
    routers.recordGranted("r2", 8_000);
    t.equal(routers.count(10_001), 1);
    t.equal(routers.count(18_001), 0);
    t.end();
});
