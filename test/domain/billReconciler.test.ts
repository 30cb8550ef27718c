/** Guards against billing a request twice that ran in two zones. */
import t from "tap";
import { BillReconciler } from "../../src/daemons/controller/billReconciler.js";
import type { ControllerContext } from "../../src/daemons/controller/controllerContext.js";
import { createUsageRecord } from "../../src/domain/billStore.js";
import { Ledger, ShareSource } from "../../src/domain/ledger.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";

class FixedShare extends ShareSource {
    override getAllotted(): number {
        return 1_000;
    }
    override hasTopUp(): boolean {
        return false;
    }
}

const MIN_AGE_MS = 50;

interface Zone {
    readonly ledger: Ledger;
    readonly reconciler: BillReconciler;
    reachable: boolean;
}

/** Creates two ledgers that each have a grant and query each other for bills. */
async function createZones(clock: FakeClock): Promise<Record<"a" | "b", Zone>> {
    const controllers = ["a", "b"].map(name => ({ name, zone: name, address: name }));
    const zones = {} as Record<string, Zone>;
    for (const name of ["a", "b"]) {
        const ledger = new Ledger(`${name}#0`, new FakeJournal(true), new FixedShare());
        await ledger.draw(`${name}#0/r/g`, "r", "budget", 1, 200, 200);
        const network = {
            call: (address: string, _method: unknown, params: { requestId: string; }): Promise<unknown> => {
                const other = zones[address]!;
                return other.reachable
                    ? Promise.resolve({ bill: structuredClone(other.ledger.tryGetBill(params.requestId)) })
                    : Promise.reject(new Error("unreachable"));
            },
        };
        const context = { name, controllers, ledger, network, clock } as unknown as ControllerContext;
        zones[name] = { ledger, reconciler: new BillReconciler(context, MIN_AGE_MS), reachable: true };
    }
    return zones as Record<"a" | "b", Zone>;
}

function createUsage(zone: string, uncertain: boolean, at: number): ReturnType<typeof createUsageRecord> {
    const run = {
        requestId: "account/key",
        runId: `account/key#${zone}`,
        account: "account",
        service: "s",
        budget: "budget",
        grant: `${zone}#0/r/g`,
        uncertain,
    };
    return createUsageRecord(run, { promptTokens: 10, outputTokens: 20 }, at);
}

for (const [first, second] of [[false, true], [true, true]] as const) {
    void t.test(`one of two bills is withdrawn (uncertain: ${first}, ${second})`, async t => {
        const clock = new FakeClock();
        const { a, b } = await createZones(clock);
        await a.ledger.recordUsage(createUsage("a", first, clock.getWallMs()));
        await b.ledger.recordUsage(createUsage("b", second, clock.getWallMs()));
        await b.reconciler.reconcile();
        t.equal(b.ledger.getBalance("budget").spent, 30, "kept while another run may be in progress");
        clock.advance(MIN_AGE_MS + 1);
        a.reachable = false;
        await b.reconciler.reconcile();
        t.equal(b.ledger.getBalance("budget").spent, 30, "kept while the other ledger is unreachable");
        a.reachable = true;
        await b.reconciler.reconcile();
        await a.reconciler.reconcile();
        t.equal(a.ledger.getBalance("budget").spent + b.ledger.getBalance("budget").spent, 30);
        t.same(b.ledger.getUncertainBills().concat(a.ledger.getUncertainBills()), [], "no uncertain bills remain");
    });
}
