/** Guards against a router that starts with settings that its decisions cannot work with. */
import t from "tap";
import { admissionSchema } from "../../src/domain/admissionPolicy.js";
import { upstreamModelSchema } from "../../src/domain/upstreamModel.js";
import { checkSection } from "../../src/settings/checkSection.js";
import { ADMISSION_OPTIONS, MODEL_OPTIONS } from "../tools/upstreamPlay.js";

void t.test("invalid sections are rejected, naming the setting and the bound", t => {
    const checkModel = (change: object) =>
        checkSection("upstreamModel", upstreamModelSchema, { ...MODEL_OPTIONS, ...change });
    const checkAdmission = (change: object) =>
        checkSection("admission", admissionSchema, { ...ADMISSION_OPTIONS, ...change });
    t.same(checkModel({}), MODEL_OPTIONS);
    t.same(checkAdmission({}), ADMISSION_OPTIONS);
    t.equal(checkSection("admission", admissionSchema, undefined), undefined, "an absent section is off");
    t.throws(() => checkModel({ probeIntervalMs: 5 }), {
        message: /settingsInvalid: upstreamModel\.probeIntervalMs.*100/,
    });
    t.throws(() => checkModel({ rampStartFraction: 2 }), { message: /upstreamModel\.rampStartFraction.*1/ });
    t.throws(() => checkModel({ dataExpiryMs: NaN }), { message: /upstreamModel\.dataExpiryMs/ });
    t.throws(() => checkAdmission({ firstTokenMargin: 0.5 }), { message: /admission\.firstTokenMargin.*1/ });
    t.throws(() => checkAdmission({ minRetryAfterMs: 9_000 }), {
        message: /admission\.minRetryAfterMs: must not exceed maxRetryAfterMs/,
    });
    t.end();
});
