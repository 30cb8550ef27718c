/** Guards against freeing the tokens of an expired grant while usage under it may still be unreported. */
import t from "tap";
import type { ControllerContext } from "../../src/daemons/controller/controllerContext.js";
import { GrantCloser } from "../../src/daemons/controller/grantCloser.js";
import { Ledger, ShareSource } from "../../src/domain/ledger.js";
import { NoLog } from "../../src/ports/log.js";
import type { CloseGrantAnswer } from "../../src/protocol/runMethods.js";
import { FakeJournal } from "../tools/fakes.js";

const GRANT = "l#0/router/g";

class FixedShare extends ShareSource {
    override getAllotted(): number {
        return 1_000;
    }
    override hasTopUp(): boolean {
        return false;
    }
}

interface Sidecar {
    incarnation: string;
    reachable: boolean;
    active: string[];
}

async function createFixture(): Promise<
    { ledger: Ledger; sidecars: Record<string, Sidecar>; closer: GrantCloser; state: { expired: boolean; }; }
> {
    const ledger = new Ledger("l#0", new FakeJournal(true), new FixedShare());
    const sidecars: Record<string, Sidecar> = {
        s1: { incarnation: "1", reachable: true, active: [] },
        s2: { incarnation: "1", reachable: true, active: [] },
    };
    const context = {
        ledger,
        events: new NoLog(),
        log: {
            state: {
                objects: {
                    getAll: () =>
                        Object.keys(sidecars).map(name => ({ name, spec: { sidecar: name, box: name, zone: "z" } })),
                },
            },
        },
        network: {
            call: (address: string): Promise<CloseGrantAnswer> => {
                const sidecar = sidecars[address]!;
                return sidecar.reachable
                    ? Promise.resolve({
                        box: address,
                        incarnation: sidecar.incarnation,
                        active: sidecar.active,
                        records: [],
                    })
                    : Promise.reject(new Error("unreachable"));
            },
        },
    } as unknown as ControllerContext;
    const state = { expired: false };
    const closer = new GrantCloser(context, { isExpired: () => state.expired, forgetGrant: () => undefined } as never);
    await closer.closeExpired();
    await ledger.draw(GRANT, "router", "b", 1, 100, 100);
    state.expired = true;
    return { ledger, sidecars, closer, state };
}

void t.test("open tokens are freed if every sidecar has run since before the grant was opened", async t => {
    const { ledger, closer } = await createFixture();
    await closer.closeExpired();
    t.match(ledger.getBalance("b"), { free: 1_000, open: 0, unaccounted: 0 });
});

void t.test("open tokens are written off if a sidecar was restarted", async t => {
    const { ledger, closer, sidecars } = await createFixture();
    sidecars["s1"]!.incarnation = "2";
    await closer.closeExpired();
    t.match(ledger.getBalance("b"), { free: 900, open: 0, unaccounted: 100 });
    t.equal(await ledger.releaseUnaccounted("b", 100), 100, "released by an operator");
    t.match(ledger.getBalance("b"), { free: 1_000, unaccounted: 0 });
});

void t.test("a grant stays open while a sidecar is unreachable or runs a request under it", async t => {
    const { ledger, closer, sidecars } = await createFixture();
    sidecars["s2"]!.reachable = false;
    await closer.closeExpired();
    t.match(ledger.getBalance("b"), { free: 900, open: 100 });
    sidecars["s2"]!.reachable = true;
    sidecars["s2"]!.active = [GRANT];
    await closer.closeExpired();
    t.match(ledger.getBalance("b"), { free: 900, open: 100 });
    sidecars["s2"]!.active = [];
    await closer.closeExpired();
    t.match(ledger.getBalance("b"), { free: 1_000, open: 0 });
});
