/** Budgets by escrow: whatever is lost, doubled, late or dead, nothing is consumed past a budget and nothing vanishes. */
import fc from "fast-check";
import t from "tap";
import { EscrowWorld } from "../tools/escrowWorld.js";

const RUNS = 300;
const SEED = 20_261_202;

const step = fc.tuple(fc.nat(1_000), fc.nat(5), fc.nat(5), fc.nat(200));

void t.test("no interleaving of faults overspends or loses a token", async t => {
    await fc.assert(
        fc.asyncProperty(fc.array(step, { minLength: 100, maxLength: 400, size: "max" }), async steps => {
            const world = new EscrowWorld();
            await world.prime();
            for (const [operation, x, y, tokens] of steps) {
                await world.step(operation, x, y, tokens);
                const violation = world.findViolation();
                if (violation !== undefined) {
                    throw new Error(violation);
                }
            }
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
    t.pass();
});

void t.test("the world really consumes tokens", async t => {
    let consumed = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(step, { minLength: 400, maxLength: 400, size: "max" }), async steps => {
            const world = new EscrowWorld();
            await world.prime();
            for (const [operation, x, y, tokens] of steps) {
                await world.step(operation, x, y, tokens);
            }
            consumed += world.consumed;
        }),
        { numRuns: 50, seed: SEED },
    );
    t.ok(consumed > 1_000, `${consumed} tokens over 50 worlds`);
});
