/** Guards against a controller that judges replicas too early or never, because its settings of the replica set are invalid. */
import t from "tap";
import { createControllerSettings } from "../../platform/roleSettings.js";
import { startBundleController } from "../../src/bundleWiring.js";
import { parseSection } from "../../src/settings/checkSection.js";
import { replicaSetSchema } from "../../src/settings/replicaSetSettings.js";
import { createTestBoxSettings } from "../tools/testBoxSettings.js";

process.env["LOOMWINCH_FLEET_SECRET"] = "test-fleet-secret";

const VALID = { toleratedLosses: 2, silentAfterMs: 2_000, removeAfterMs: 10_000 };

function createSettings(catchUpSeconds: number) {
    return createControllerSettings(createTestBoxSettings(`[bounds]\ncatch_up_s = ${catchUpSeconds}`));
}

void t.test("a replica counts as lost after half of catch_up_s and is removed after two and a half times as long", t => {
    t.match(createSettings(4).replicaSet, { silentAfterMs: 2_000, removeAfterMs: 10_000 });
    t.match(createSettings(6).replicaSet, { silentAfterMs: 3_000, removeAfterMs: 15_000 });
    t.match(createControllerSettings(createTestBoxSettings()).replicaSet, createSettings(4).replicaSet, "the default");
    t.end();
});

void t.test("no replica counts as lost, or is removed, within two election timeouts, however small catch_up_s is", t => {
    const minMs = createSettings(4).electionTimeoutMs * 2;
    for (const seconds of [0.0001, 0.001, 0.1, 0.4]) {
        t.match(createSettings(seconds).replicaSet, { silentAfterMs: minMs, removeAfterMs: minMs }, `${seconds} s`);
    }
    t.match(createSettings(1).replicaSet, { silentAfterMs: minMs, removeAfterMs: 2_500 });
    t.match(createSettings(2).replicaSet, { silentAfterMs: minMs, removeAfterMs: 5_000 });
    t.match(createSettings(2.0002).replicaSet, { silentAfterMs: minMs, removeAfterMs: 5_000 }, "whole milliseconds");
    t.match(createSettings(2.003).replicaSet, { silentAfterMs: 1_002, removeAfterMs: 5_008 }, "rounded up");
    t.end();
});

void t.test("what boxes name as catch_up_s yields settings that are accepted, up to 20 minutes", t => {
    for (const seconds of [0.0001, 0.4, 4, 6, 1_200]) {
        const { replicaSet } = createSettings(seconds);
        t.same(parseSection("replicaSet", replicaSetSchema, replicaSet), replicaSet, `${seconds} s`);
    }
    t.end();
});

void t.test("a controller does not start with a catch_up_s for which a lost replica would vote too long", async t => {
    await t.rejects(startBundleController(createSettings(1_201)), {
        message: /^LW4001 settingsInvalid: replicaSet\.silentAfterMs: .*600000/,
    });
});

void t.test("a catch_up_s that is not positive is refused with its name", t => {
    for (const seconds of [0, -1]) {
        t.throws(() => createSettings(seconds), { message: /^LW4001 settingsInvalid: bounds\.catch_up_s: / });
    }
    t.end();
});

void t.test("the number of tolerated losses is that of the fault budget", t => {
    const settings = createControllerSettings(createTestBoxSettings("[fault_budget]\nmachines = 3"));
    t.equal(settings.replicaSet.toleratedLosses, 3);
    t.end();
});

void t.test("values at the bounds are accepted", t => {
    const sections = [
        VALID,
        { toleratedLosses: 0, silentAfterMs: 1, removeAfterMs: 1 },
        { toleratedLosses: 31, silentAfterMs: 600_000, removeAfterMs: 3_600_000 },
    ];
    sections.forEach(section => t.same(parseSection("replicaSet", replicaSetSchema, section), section));
    t.end();
});

const invalidSections: readonly [object, RegExp][] = [
    [{ ...VALID, toleratedLosses: -1 }, /toleratedLosses: .*>=0/],
    [{ ...VALID, toleratedLosses: 32 }, /toleratedLosses: .*<=31/],
    [{ ...VALID, toleratedLosses: 1.5 }, /toleratedLosses: .*int/],
    [{ ...VALID, silentAfterMs: 0 }, /silentAfterMs: .*>=1/],
    [{ ...VALID, silentAfterMs: 600_001, removeAfterMs: 3_600_000 }, /silentAfterMs: .*<=600000/],
    [{ ...VALID, removeAfterMs: 0 }, /removeAfterMs: .*>=1/],
    [{ ...VALID, removeAfterMs: 3_600_001 }, /removeAfterMs: .*<=3600000/],
    [{ ...VALID, removeAfterMs: 1_999 }, /removeAfterMs: must not be less than silentAfterMs$/],
    [{ toleratedLosses: 2, silentAfterMs: 2_000 }, /removeAfterMs: .*undefined/],
];
for (const [section, pattern] of invalidSections) {
    void t.test(`${JSON.stringify(section)} is refused with the setting and its bound`, async t => {
        const message = new RegExp(`^LW4001 settingsInvalid: replicaSet\\.${pattern.source}`);
        t.throws(() => parseSection("replicaSet", replicaSetSchema, section), { message });
        const settings = { ...createSettings(4), replicaSet: section as typeof VALID };
        await t.rejects(startBundleController(settings), { message });
    });
}

void t.test("an unknown setting is refused with its name", t => {
    t.throws(() => parseSection("replicaSet", replicaSetSchema, { ...VALID, removeAfter: 1 }), {
        message: /^LW4001 settingsInvalid: replicaSet: .*removeAfter/,
    });
    t.end();
});
