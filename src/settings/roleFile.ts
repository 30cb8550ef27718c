import { err, type Result } from "neverthrow";
import { createRefusal, type Refusal } from "../domain/resultCodes.js";
import { checkJsonc, readJsoncFile } from "./jsoncFile.js";
import { type Role, type RoleSettings, roleSettings } from "./schemas.js";

/** Reads and validates a settings file. `role`: the expected role; defaults to the role that the file specifies. */
export async function readRoleSettings(path: string, role?: Role): Promise<Result<RoleSettings, Refusal>> {
    const file = await readJsoncFile(path);
    if (file.isErr()) {
        return err(file.error);
    }
    const declaredRole = (file.value.value as { role?: unknown; } | undefined)?.role;
    const expectedRole = role ?? declaredRole;
    if (typeof expectedRole !== "string" || !(expectedRole in roleSettings)) {
        return err(
            createRefusal(
                "settingsInvalid",
                `${path}:1:1: role: must be one of ${Object.keys(roleSettings).join(", ")}`,
            ),
        );
    }
    return checkJsonc<RoleSettings>(file.value, roleSettings[expectedRole as Role] as never);
}
