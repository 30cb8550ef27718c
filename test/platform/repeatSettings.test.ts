/** Guards against a process that starts although its settings of how often requests are sent again are invalid. */
import t from "tap";
import { EngineClient } from "../../platform/engineClient.js";
import { createControllerSettings, createRouterSettings } from "../../platform/roleSettings.js";
import { startBundleController, startDirectRouter } from "../../src/bundleWiring.js";
import { createTestBoxSettings } from "../tools/testBoxSettings.js";

process.env["LOOMWINCH_FLEET_SECRET"] = "test-fleet-secret";
const boxSettings = createTestBoxSettings();
const { repeatPermits, ...controllerSettings } = createControllerSettings(boxSettings);
const routerSettings = createRouterSettings(boxSettings, new EngineClient());

void t.test("a router does not start with invalid settings of repeats", async t => {
    const { router } = routerSettings;
    for (const [field, value] of [["windowMs", 0], ["ratio", -1], ["permitWaitMs", 60_000]] as const) {
        const settings = { ...routerSettings, router: { ...router, repeats: { ...router.repeats, [field]: value } } };
        await t.rejects(startDirectRouter(settings), { message: new RegExp(`settingsInvalid: repeats\\.${field}`) });
    }
});

void t.test("a controller does not start with invalid settings of permits", async t => {
    for (const [field, value] of [["maxPermits", -1], ["lifetimeMs", 0]] as const) {
        const settings = { ...controllerSettings, repeatPermits: { ...repeatPermits, [field]: value } };
        await t.rejects(startBundleController(settings), {
            message: new RegExp(`settingsInvalid: repeatPermits\\.${field}`),
        });
    }
});

void t.test("what the settings use stays below the platform's limits", t => {
    t.ok(routerSettings.router.repeats.ratio < boxSettings.retryRatio);
    t.ok(repeatPermits.maxPermits < boxSettings.retrySlack);
    t.equal(repeatPermits.windowMs, boxSettings.retryWindowMs);
    t.equal(routerSettings.router.repeats.windowMs, boxSettings.retryWindowMs);
    t.end();
});
