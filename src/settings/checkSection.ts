/** Checks one section of a role's settings. */
import type * as z from "zod";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";

/** Returns the section, or undefined if it is absent. Throws settingsInvalid, naming the setting and its bound. */
export function checkSection<T>(name: string, schema: z.ZodType<T>, section: T | undefined): T | undefined {
    return section === undefined ? undefined : parseSection(name, schema, section);
}

/** Returns the section with its defaults. Throws settingsInvalid, naming the setting and its bound. */
export function parseSection<T>(name: string, schema: z.ZodType<T>, section: unknown): T {
    const parsed = schema.safeParse(section);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        const detail = `${[name, ...issue.path].join(".")}: ${issue.message}`;
        throw new RefusalError(createRefusal("settingsInvalid", detail));
    }
    return parsed.data;
}
