/** Registers an upstream as the platform's engines do. */
import { request } from "undici";

const REGISTER_TIMEOUT_MS = 1_000;

/** Tells the first controller that answers. `controllers`: URLs of their operators' interfaces. Returns whether one did. */
export async function registerUpstream(
    controllers: readonly string[],
    id: string,
    registration: object,
): Promise<boolean> {
    for (const controller of controllers) {
        try {
            const answer = await request(`${controller}/loomwinch/instances/${id}`, {
                method: "PUT",
                body: JSON.stringify(registration),
                signal: AbortSignal.timeout(REGISTER_TIMEOUT_MS),
            });
            await answer.body.dump();
            if (answer.statusCode === 200) {
                return true;
            }
        }
        catch {
            // The next controller is asked.
        }
    }
    return false;
}
