/** Guards against a stream that goes on at another software version, and against one refused that could go on. */
import t from "tap";
import { resolveResumption, type ResumptionEvidence } from "../../src/domain/resumption.js";

const V1 = { service: "s", version: "v1" };
const V2 = { service: "s", version: "v2" };
const NOTHING_KNOWN: ResumptionEvidence = { services: ["s"], origins: [], versions: undefined, isComplete: true };

function decide(evidence: Partial<ResumptionEvidence>) {
    return resolveResumption({ ...NOTHING_KNOWN, ...evidence });
}

void t.test("a stream goes on at its origin, whatever other versions there are", async t => {
    t.same(decide({ origins: [V1], versions: ["v1", "v2"] }), { type: "resume", origin: V1 });
    t.same(decide({ origins: [V1, V1], isComplete: false }), { type: "resume", origin: V1 });
});

void t.test("a stream of uncertain origin is refused, also while its service has one version", async t => {
    t.same(decide({ origins: ["ambiguous"], versions: ["v1"] }), { type: "refuse", cause: "originAmbiguous" });
    t.same(decide({ origins: [V1, V2] }), { type: "refuse", cause: "originAmbiguous" });
    t.same(decide({ origins: [V1, "ambiguous"] }), { type: "refuse", cause: "originAmbiguous" });
});

void t.test("an unknown stream goes on where its service has had one version only", async t => {
    t.same(decide({ versions: ["v1"] }), { type: "resume", origin: V1 });
    t.same(decide({ versions: ["v1"], isComplete: false }), { type: "resume", origin: V1 });
    t.same(decide({ versions: [""] }), { type: "resume", origin: { service: "s", version: "" } });
    t.same(decide({ versions: [] }), { type: "resume", origin: { service: "s", version: "" } });
});

void t.test("an unknown stream is refused where its service has several versions or they are unknown", async t => {
    t.same(decide({ versions: ["v1", "v2"] }), { type: "refuse", cause: "originUnknown" });
    t.same(decide({ versions: undefined }), { type: "refuse", cause: "originUnknown" });
    t.same(decide({ versions: undefined, isComplete: false }), { type: "refuse", cause: "originUnreachable" });
});

void t.test("an unknown stream is refused where its route leads to several services", async t => {
    t.same(decide({ services: ["s", "x"], versions: ["v1"] }), { type: "refuse", cause: "originUnknown" });
});

void t.test("a stream whose route no longer leads to its service is refused", async t => {
    t.same(decide({ services: ["x"], origins: [V1] }), { type: "refuse", cause: "serviceRemoved" });
    t.same(decide({ services: ["x", "s"], origins: [V1] }), { type: "resume", origin: V1 });
});
