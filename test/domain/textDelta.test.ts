/** Deltas between texts reproduce the new text, and are small if little differs. */
import * as fc from "fast-check";
import t from "tap";
import { applyTextDelta, computeTextDelta } from "../../src/domain/textDelta.js";

const SEED = 22;
/** Few distinct segments, so that texts share many of them, reordered and repeated. */
const repetitiveText = fc.array(fc.constantFrom("{a}", "{b}", "{\"c\":{}}", "}", "\n", "x", ",")).map(parts =>
    parts.join("")
);

void t.test("applying a change to the old text gives the new text", t => {
    const texts = fc.oneof(repetitiveText, fc.string({ unit: "binary" }));
    fc.assert(
        fc.property(texts, texts, (before, after) => {
            t.equal(applyTextDelta(before, computeTextDelta(before, after)), after);
        }),
        { seed: SEED, numRuns: 500 },
    );
    t.end();
});

void t.test("the change of one of many routes is small", t => {
    const createText = (revision: number, timeoutMs: number): string =>
        JSON.stringify({
            revision,
            routes: Array.from({ length: 1_000 }, (_, i) => ({ name: `r${i}`, timeoutMs: i === 500 ? timeoutMs : 1 })),
        });
    const change = JSON.stringify(computeTextDelta(createText(1, 2), createText(2, 3)));
    t.ok(change.length < createText(2, 3).length / 100, `${change.length} characters`);
    t.end();
});
