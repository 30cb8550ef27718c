/**
 * Guards against refusing requests because all upstreams count as lost between two polls of the controllers, while they
 * report in time.
 */
import t from "tap";
import { ControllerContact } from "../../src/daemons/directRouter/controllerContact.js";
import { UpstreamUpdateTracker } from "../../src/daemons/directRouter/upstreamUpdateTracker.js";
import { UpstreamChanges } from "../../src/domain/upstreamChanges.js";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";

const STEP_MS = 20;
const REPORT_MS = 400;
/** In the proportions of the platform's routers. */
const STALE_MS = REPORT_MS * 1.5;
const REPORT_TIMEOUT_MS = REPORT_MS * 4;
/** A poll interval of 1,000 ms and the time that a slow poll takes. */
const POLL_MS = 1_400;
const CONTACT_GAP_MS = 2_000;
const END_MS = 20_000;

const UPSTREAM: UpstreamRegistration = {
    id: "u",
    service: "s",
    address: "u:1",
    zone: "z",
    slots: 4,
    state: "ready",
    sequence: 1,
    coldLeftMs: 0,
};

/** Returns the times at which the upstream was unavailable to a router after the first poll. Milliseconds. */
function simulate(hasStoppedReporting: (now: number) => boolean): number[] {
    const controllerRegistry = new UpstreamRegistry();
    const changes = new UpstreamChanges(controllerRegistry, "c");
    const tracker = new UpstreamUpdateTracker(STALE_MS);
    const registry = new UpstreamRegistry();
    const contact = new ControllerContact({
        contactGapMs: CONTACT_GAP_MS,
        upstreamReportTimeoutMs: REPORT_TIMEOUT_MS,
    });
    const unavailable: number[] = [];
    for (let now = 0; now < END_MS; now += STEP_MS) {
        if (now % REPORT_MS === 0 && !hasStoppedReporting(now)) {
            controllerRegistry.record({ ...UPSTREAM, sequence: now + 1 }, now);
        }
        if (now % POLL_MS === 0) {
            contact.recordResponse(now);
            const update = changes.createUpdate(tracker.tryGetCursor(), tracker.unheardMs, now);
            update.changed.forEach(({ registration, ageMs }) => registry.record(registration, now - ageMs));
            tracker.applyUpdate(update).forEach(({ id, ageMs }) => registry.recordHeard(id, now - ageMs));
            contact.recordUpstreamUpdate(now);
        }
        if (registry.getReady("s", now, contact.getMaxUpstreamAgeMs(now)).length === 0) {
            unavailable.push(now);
        }
    }
    return unavailable;
}

void t.test("an upstream that reports in time is available between polls that take longer than its report timeout", t => {
    t.same(simulate(() => false), []);
    t.end();
});

void t.test("an upstream that stops reporting is lost after its report timeout, with the next poll", t => {
    const stoppedAt = END_MS / 2;
    const unavailable = simulate(now => now > stoppedAt);
    t.ok(unavailable[0]! > stoppedAt + REPORT_TIMEOUT_MS);
    t.ok(unavailable[0]! <= stoppedAt + REPORT_TIMEOUT_MS + POLL_MS + STEP_MS, `lost at ${unavailable[0]}`);
    t.equal(unavailable.at(-1), END_MS - STEP_MS);
    t.end();
});

void t.test("without contact to a controller, upstreams keep their last known state", t => {
    const contact = new ControllerContact({ contactGapMs: CONTACT_GAP_MS, upstreamReportTimeoutMs: REPORT_TIMEOUT_MS });
    contact.recordResponse(0);
    contact.recordUpstreamUpdate(0);
    t.equal(contact.getMaxUpstreamAgeMs(CONTACT_GAP_MS), Infinity);
    t.end();
});
