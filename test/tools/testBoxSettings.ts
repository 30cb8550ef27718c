/** Settings of a box for tests of how settings are checked; nothing is started with them. */
import { type BoxSettings, parseBoxSettings } from "../../platform/boxSettings.js";

/** `sections`: further sections of the settings file. */
export function createTestBoxSettings(sections = ""): BoxSettings {
    return parseBoxSettings(`
        node_name = "r1"
        ip = "127.0.0.1"
        zone = "z"
        port_range = [1, 2]
        seeds = []
        data_dir = "unused"
        [listen]
        admin = "127.0.0.1:3"
        ${sections}
    `);
}
