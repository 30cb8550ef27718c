/** Tests the status of a controller. */
import t from "tap";
import type { ConfigPublisher } from "../../src/daemons/controller/configPublisher.js";
import type { ControllerContext } from "../../src/daemons/controller/controllerContext.js";
import { StatusService } from "../../src/daemons/controller/statusService.js";

function createStatusService(isElectable: boolean, hasCaughtUp = true): StatusService {
    const log = {
        isElectable: () => isElectable,
        isConnectedToMajority: () => true,
        hasCaughtUp: () => hasCaughtUp,
        getLeaderName: () => "b",
        getTerm: () => 1,
        getAppliedIndex: () => 1,
        state: { objects: { getRevision: () => 1 }, budgets: { forEachBudget: () => undefined } },
    };
    const ledger = { id: "a#1", overspent: 0, getBudgets: () => [], getPendingTopUps: () => 0 };
    const context = { log, ledger, name: "a", zone: "z", controllers: [] } as unknown as ControllerContext;
    return new StatusService(context, { getDaemons: () => [] } as unknown as ConfigPublisher);
}

// Guards against an operator who takes down the next controller while a repaired one cannot vote yet.
void t.test("a controller that lost its disk reports that it is connected only once it counts towards a majority", async t => {
    const [joining, joined] = [
        await createStatusService(false).getStatus(),
        await createStatusService(true).getStatus(),
    ];
    t.same([joining.connected, joining.controllers[0]!.connected], [false, false]);
    t.same([joined.connected, joined.controllers[0]!.connected], [true, true]);
});

// Guards against a status without the budgets and accounts of the fleet, by a controller that calls itself connected.
void t.test("a controller that has started reports that it is connected only once it has the state", async t => {
    t.equal((await createStatusService(true, false).getStatus()).connected, false);
});
