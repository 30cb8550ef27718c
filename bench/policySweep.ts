/**
 * `npm run bench:sweep`: what a zone that is cut off should have held at the cut. Works the split traces out for values
 * of the even part and of the demand that is assumed without evidence; ideal sharing on the side with the majority.
 */
import { FollowDemandPolicy } from "../src/domain/allocationPolicy.js";
import { DecayingRate } from "../src/domain/decayingRate.js";
import type { TraceLine } from "../src/replay/trace.js";
import { getDeployment, getOpeningTokens, getTraceBill, loadTrace } from "./runTrace.js";

const DEMAND_HALF_LIFE_MS = 10_000;

interface Pots {
    /** Tokens by budget on the side that is cut off, and on the other. */
    readonly cutOff: Map<string, number>;
    readonly others: Map<string, number>;
}

function workOut(
    lines: readonly TraceLine[],
    accounts: readonly string[],
    zones: readonly string[],
    cutZone: string,
    policy: FollowDemandPolicy,
): number {
    const left = new Map(accounts.map((account, i) => [`${account}-budget`, getOpeningTokens(i)]));
    const demands = new Map<string, DecayingRate>();
    const getDemand = (budget: string, zone: string): DecayingRate => {
        const key = `${budget}@${zone}`;
        const known = demands.get(key) ?? new DecayingRate(DEMAND_HALF_LIFE_MS);
        demands.set(key, known);
        return known;
    };
    let pots: Pots | undefined;
    let refused = 0;
    for (const line of lines) {
        if (line.type === "fault" && line.action === "cutOff") {
            pots = split(left, zones, cutZone, policy, (budget, zone) => getDemand(budget, zone).getRate(line.at));
        }
        else if (line.type === "fault" && line.action === "heal" && pots !== undefined) {
            const { cutOff, others } = pots;
            left.forEach((_, budget) => left.set(budget, cutOff.get(budget)! + others.get(budget)!));
            pots = undefined;
        }
        else if (line.type === "topUp") {
            const pot = pots === undefined ? left : line.home === `controller-${cutZone}` ? pots.cutOff : pots.others;
            pot.set(line.budget, (pot.get(line.budget) ?? 0) + line.tokens);
        }
        else if (line.type === "request") {
            const budget = `${line.account}-budget`;
            const bill = getTraceBill(line);
            getDemand(budget, line.zone).add(bill, line.at);
            const pot = pots === undefined ? left : line.zone === cutZone ? pots.cutOff : pots.others;
            if (pot.get(budget)! < bill) {
                refused += 1;
            }
            else {
                pot.set(budget, pot.get(budget)! - bill);
            }
        }
    }
    return refused;
}

function split(
    left: ReadonlyMap<string, number>,
    zones: readonly string[],
    cutZone: string,
    policy: FollowDemandPolicy,
    getRate: (budget: string, zone: string) => number,
): Pots {
    const cutOff = new Map<string, number>();
    const others = new Map<string, number>();
    for (const [budget, tokens] of left) {
        const shares = Object.fromEntries(zones.map(zone => [zone, {
            allottedTotal: 0,
            returnedTotal: 0,
            spentTotal: 0,
            unaccountedTotal: 0,
            allotSequence: 0,
            demand: getRate(budget, zone),
        }]));
        const account = { toppedUp: tokens, unallocated: tokens, shares };
        const held = policy.computeTargetTokens({
            account,
            openLedgers: zones,
            self: cutZone,
            ownDemand: getRate(budget, cutZone),
            ownFree: 0,
        });
        cutOff.set(budget, held);
        others.set(budget, tokens - held);
    }
    return { cutOff, others };
}

for (const name of ["vorka-split", "srp-lima-split"]) {
    const deployment = getDeployment(name);
    const lines = await loadTrace(name);
    for (const evenPart of [0.1, 0.3, 0.5, 0.7, 1]) {
        for (const assumedDemand of [0, 10, 30, 100]) {
            const policy = new FollowDemandPolicy(evenPart, assumedDemand);
            const refused = workOut(lines, deployment.accounts, deployment.fleet.zones, deployment.cutOffZone, policy);
            console.log(`trace=${name} even_part=${evenPart} assumed_demand=${assumedDemand} refused=${refused}`);
        }
    }
}
