/** The platform's settings file: what is read, what is passed over, what is refused. */
import t from "tap";
import { parseBoxSettings } from "../../platform/boxSettings.js";

const SOUND = `
node_name = "core-1"
ip = "10.1.0.41"
zone = "z1"
port_range = [7340,7355]
seeds = ["10.1.0.41:8229","10.2.0.30:8229"]
bootstrap = true
data_dir = "/data/x"
a_field_of_tomorrow = [1, 2]
[listen]
admin = "10.1.0.41:8229"
[fault_budget]
machines = 2
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_slack = 52
`;

void t.test("sound settings, with fields that are not known", t => {
    t.match(parseBoxSettings(SOUND), {
        box: "core-1",
        peerAddress: "10.1.0.41:7340",
        seeds: ["10.1.0.41:7340", "10.2.0.30:7340"],
        isFirstStart: true,
        operatorListen: "10.1.0.41:8229",
        callerListen: undefined,
        toleratedLosses: 2,
        stopWithinMs: 8_000,
    });
    t.end();
});

const broken: readonly [string, string][] = [
    ["no TOML", "node_name = = 3"],
    ["a missing field", SOUND.replace(/zone = .*/, "")],
    ["an odd address", SOUND.replace("10.2.0.30:8229", "10.2.0.30")],
    ["an odd port range", SOUND.replace("[7340,7355]", "\"7340\"")],
];
for (const [what, text] of broken) {
    void t.test(`settings with ${what} are refused by a number`, t => {
        t.throws(() => parseBoxSettings(text), { message: /^LW4001 settingsInvalid/ });
        t.end();
    });
}
