/**
 * Guards against telling an operator that the outcome of a change is unknown, or that there is no majority, because the
 * leader was lost while another one takes over.
 */
import t from "tap";
import type { AuditTrail } from "../../src/daemons/controller/auditTrail.js";
import type { ControllerContext } from "../../src/daemons/controller/controllerContext.js";
import { OperatorService } from "../../src/daemons/controller/operatorService.js";
import type { StatusService } from "../../src/daemons/controller/statusService.js";
import type { TopUpService } from "../../src/daemons/controller/topUpService.js";
import type { Command } from "../../src/domain/commands.js";
import { createRefusal, getRefusal, RefusalError, type ResultCodeName } from "../../src/domain/resultCodes.js";
import { Clock } from "../../src/ports/clock.js";

/** Waits take no time but advance the clock. */
class InstantClock extends Clock {
    private now = 0;
    override getMonotonicMs(): number {
        return this.now;
    }
    override getWallMs(): number {
        return this.now;
    }
    override wait(ms: number): Promise<void> {
        this.now += ms;
        return Promise.resolve();
    }
}

/**
 * Puts an object while proposals have the given outcomes, the last one repeatedly. Returns the outcome and the proposals.
 * `isElecting`: the controller lost its leader a moment ago.
 */
async function put(outcomes: readonly ("accepted" | ResultCodeName)[], isConnected: boolean, isElecting = false) {
    const proposals: Command[] = [];
    const propose = (command: Command): Promise<unknown> => {
        const outcome = outcomes[Math.min(proposals.length, outcomes.length - 1)]!;
        proposals.push(command);
        return outcome === "accepted"
            ? Promise.resolve({ index: 7, result: { type: "accepted", revision: 3 } })
            : Promise.reject(new RefusalError(createRefusal(outcome)));
    };
    const log = {
        propose,
        waitApplied: () => Promise.resolve(),
        isConnectedToMajority: () => isConnected,
        isLeaderExpected: () => isConnected || isElecting,
    };
    const service = new OperatorService(
        { log, clock: new InstantClock() } as unknown as ControllerContext,
        {} as TopUpService,
        { recordRefusal: () => undefined } as unknown as AuditTrail,
        {} as StatusService,
    );
    const outcome = await service.put("o", "clientAccount", "a", { spec: { keyHashes: [] } }).then(
        ({ revision }) => `accepted as ${revision}`,
        error => getRefusal(error).code,
    );
    const operationIds = new Set(proposals.map(command => (command as { operationId: string; }).operationId));
    return { outcome, proposals: proposals.length, operations: operationIds.size };
}

void t.test("a change whose outcome is unknown is proposed again with its operation id", async t => {
    const { outcome, operations } = await put(["changeUnknown", "noMajority", "changeUnknown", "accepted"], false);
    t.equal(outcome, "accepted as 3");
    t.equal(operations, 1);
});

void t.test("an outcome that stays unknown is never told as not accepted", async t => {
    t.equal((await put(["changeUnknown", "noMajority"], false)).outcome, "changeUnknown");
});

void t.test("a change that a former leader did not accept is proposed to the next one", async t => {
    t.equal((await put(["noMajority", "noMajority", "accepted"], true)).outcome, "accepted as 3");
});

void t.test("a controller without a majority refuses at once", async t => {
    t.same(await put(["noMajority"], false), { outcome: "noMajority", proposals: 1, operations: 1 });
});

void t.test("a change in the middle of an election waits for the next leader", async t => {
    t.equal((await put(["noMajority", "noMajority", "accepted"], false, true)).outcome, "accepted as 3");
});
