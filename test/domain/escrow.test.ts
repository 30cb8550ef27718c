/** Guards against overspent budgets and lost tokens under message loss, duplication, delay, crashes and disk loss. */
import fc from "fast-check";
import t from "tap";
import { EscrowSimulation } from "../tools/escrowSimulation.js";

const NUM_RUNS = 300;
const SEED = 20_261_202;

const stepArbitrary = fc.tuple(fc.nat(1_000), fc.nat(5), fc.nat(5), fc.nat(200));

void t.test("no interleaving of faults overspends or loses a token", async t => {
    await fc.assert(
        fc.asyncProperty(fc.array(stepArbitrary, { minLength: 100, maxLength: 400, size: "max" }), async steps => {
            const simulation = new EscrowSimulation();
            await simulation.seedBudgets();
            for (const [operation, x, y, tokens] of steps) {
                await simulation.runStep(operation, x, y, tokens);
                const violation = simulation.findViolation();
                if (violation !== undefined) {
                    throw new Error(violation);
                }
            }
        }),
        { numRuns: NUM_RUNS, seed: SEED, endOnFailure: true },
    );
    t.pass();
});

void t.test("the simulation consumes tokens", async t => {
    let consumed = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(stepArbitrary, { minLength: 400, maxLength: 400, size: "max" }), async steps => {
            const simulation = new EscrowSimulation();
            await simulation.seedBudgets();
            for (const [operation, x, y, tokens] of steps) {
                await simulation.runStep(operation, x, y, tokens);
            }
            consumed += simulation.consumedTokens;
        }),
        { numRuns: 50, seed: SEED },
    );
    t.ok(consumed > 1_000, `${consumed} tokens over 50 simulations`);
});
