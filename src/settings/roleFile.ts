/** Reads the settings file of a role. */
import { err, type Result } from "neverthrow";
import { createRefusal, type Refusal } from "../domain/resultCodes.js";
import { checkJsonc, readJsoncFile } from "./jsoncFile.js";
import { type Role, type RoleSettings, roleSettings } from "./schemas.js";

/** Reads and checks a file. `role`: what it must be for; absent takes the role the file names. */
export async function readRoleSettings(path: string, role?: Role): Promise<Result<RoleSettings, Refusal>> {
    const file = await readJsoncFile(path);
    if (file.isErr()) {
        return err(file.error);
    }
    const named = (file.value.value as { role?: unknown; } | undefined)?.role;
    const wanted = role ?? named;
    if (typeof wanted !== "string" || !(wanted in roleSettings)) {
        return err(
            createRefusal(
                "settingsInvalid",
                `${path}:1:1: role: must be one of ${Object.keys(roleSettings).join(", ")}`,
            ),
        );
    }
    return checkJsonc<RoleSettings>(file.value, roleSettings[wanted as Role] as never);
}
