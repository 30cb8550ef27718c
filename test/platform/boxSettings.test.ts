/** Parsing of the platform's settings file: valid settings, unknown fields and invalid settings. */
import t from "tap";
import { parseBoxSettings } from "../../platform/boxSettings.js";
import { EngineClient } from "../../platform/engineClient.js";
import { createRouterSettings } from "../../platform/roleSettings.js";
import { startDirectRouter } from "../../src/bundleWiring.js";

const VALID_SETTINGS = `
node_name = "core-1"
ip = "10.1.0.41"
zone = "z1"
port_range = [7340,7355]
seeds = ["10.1.0.41:8229","10.2.0.30:8229"]
bootstrap = true
data_dir = "/data/x"
unknown_field = [1, 2]
[listen]
admin = "10.1.0.41:8229"
[fault_budget]
machines = 2
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_slack = 52
`;

void t.test("valid settings with unknown fields are parsed", t => {
    t.match(parseBoxSettings(VALID_SETTINGS), {
        box: "core-1",
        peerAddress: "10.1.0.41:7340",
        seeds: ["10.1.0.41:7340", "10.2.0.30:7340"],
        isFirstStart: true,
        operatorListen: "10.1.0.41:8229",
        callerListen: undefined,
        toleratedLosses: 2,
        catchUpMs: 4_000,
        stopWithinMs: 8_000,
    });
    t.end();
});

const invalidSettings: readonly [string, string][] = [
    ["a TOML syntax error", "node_name = = 3"],
    ["a missing field", VALID_SETTINGS.replace(/zone = .*/, "")],
    ["an address without a port", VALID_SETTINGS.replace("10.2.0.30:8229", "10.2.0.30")],
    ["an invalid port range", VALID_SETTINGS.replace("[7340,7355]", "\"7340\"")],
];
for (const [what, text] of invalidSettings) {
    void t.test(`settings with ${what} are rejected with a result code`, t => {
        t.throws(() => parseBoxSettings(text), { message: /^LW4001 settingsInvalid/ });
        t.end();
    });
}

// Guards against a bound on request bodies that does not fit the box, and against one where the box names no memory.
void t.test("the memory of request bodies is an eighth of the box's, and not bounded if that is unknown", async t => {
    process.env["LOOMWINCH_FLEET_SECRET"] = "test-fleet-secret";
    const create = (limits: string) =>
        createRouterSettings(parseBoxSettings(VALID_SETTINGS + limits), new EngineClient());
    t.equal(create("").router.bodyMemory, undefined);
    t.same(create("[limits]\nmemory_mb = 210").router.bodyMemory, {
        maxBytes: 26_250_000,
        maxUpstreamBytes: 6_562_500,
    });
    await t.rejects(startDirectRouter(create("[limits]\nmemory_mb = 2")), {
        message: /settingsInvalid: bodyMemory\.maxBytes: .*1000000/,
    });
});
