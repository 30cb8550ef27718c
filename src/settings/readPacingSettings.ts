/** Settings section `readPacing` of a router: delayed reads of streams while the router is loaded. */
import * as z from "zod";
import { checkSection } from "./checkSection.js";

/**
 * An event has to reach the caller within 200 ms. The rest is left for the transfer and for a turn of the loaded event loop.
 */
const MAX_DELAY_MS = 150;

const readPacingSchema = z.strictObject({
    /** Longest delay of a read, in milliseconds. */
    maxDelayMs: z.number().min(0).max(MAX_DELAY_MS),
    /** Utilization of the event loop up to which reads are not delayed. */
    minUtilization: z.number().min(0).max(1),
    /** Utilization of the event loop from which on reads are delayed by `maxDelayMs`. */
    fullUtilization: z.number().min(0).max(1),
}).refine(({ minUtilization, fullUtilization }) => fullUtilization > minUtilization, {
    path: ["fullUtilization"],
    message: "must be above minUtilization",
});

export type ReadPacingSettings = Readonly<z.infer<typeof readPacingSchema>>;

/** Throws settingsInvalid, naming the setting and its bound; accepts an absent section. */
export function checkReadPacingSettings(settings: ReadPacingSettings | undefined): void {
    checkSection("readPacing", readPacingSchema, settings);
}
