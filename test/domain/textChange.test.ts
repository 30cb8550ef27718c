/** Changes between texts: they lead to the new text whatever the two are, and are short where little differs. */
import * as fc from "fast-check";
import t from "tap";
import { applyTextChange, computeTextChange } from "../../src/domain/textChange.js";

const SEED = 22;
/** Few different pieces, so that texts share many of them, in other orders and several times. */
const alikeText = fc.array(fc.constantFrom("{a}", "{b}", "{\"c\":{}}", "}", "\n", "x", ",")).map(parts =>
    parts.join("")
);

void t.test("a change leads from one text to the other", t => {
    const texts = fc.oneof(alikeText, fc.string({ unit: "binary" }));
    fc.assert(
        fc.property(texts, texts, (before, after) => {
            t.equal(applyTextChange(before, computeTextChange(before, after)), after);
        }),
        { seed: SEED, numRuns: 500 },
    );
    t.end();
});

void t.test("a change of one of many routes is a small part of the text", t => {
    const createText = (revision: number, timeoutMs: number): string =>
        JSON.stringify({
            revision,
            routes: Array.from({ length: 1_000 }, (_, i) => ({ name: `r${i}`, timeoutMs: i === 500 ? timeoutMs : 1 })),
        });
    const change = JSON.stringify(computeTextChange(createText(1, 2), createText(2, 3)));
    t.ok(change.length < createText(2, 3).length / 100, `${change.length} characters`);
    t.end();
});
