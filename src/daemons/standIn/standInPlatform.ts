/** Simulates the platform's list of boxes; changes become visible after a lag. */
import { fastify, type FastifyInstance } from "fastify";
import { parseAddress } from "../../adapters/rpc/tcpNetwork.js";
import type { StandInPlatformSettings } from "../../settings/schemas.js";

type BoxState = "live" | "leaving" | "gone";

export class StandInPlatform {
    private readonly app: FastifyInstance;
    private readonly changes: { at: number; name: string; state: BoxState; }[] = [];

    constructor(private readonly settings: StandInPlatformSettings) {
        this.app = fastify({ forceCloseConnections: true });
        this.app.get("/boxes", () => ({ boxes: this.getDelayedList() }));
        this.app.put("/boxes/:name/:state", request => {
            const { name, state } = request.params as { name: string; state: BoxState; };
            this.setState(name, state);
            return {};
        });
        settings.boxes.forEach(name => this.changes.push({ at: -Infinity, name, state: "live" }));
    }

    /** Starts listening and returns the base URL. */
    async start(): Promise<string> {
        const { host, port } = parseAddress(this.settings.listen);
        return this.app.listen({ host, port });
    }

    async stop(): Promise<void> {
        await this.app.close();
    }

    setState(name: string, state: BoxState): void {
        this.changes.push({ at: performance.now(), name, state });
    }

    private getDelayedList(): { name: string; state: BoxState; }[] {
        const before = performance.now() - this.settings.lagMs;
        const states = new Map<string, BoxState>();
        for (const change of this.changes) {
            if (change.at <= before) {
                states.set(change.name, change.state);
            }
        }
        return [...states].map(([name, state]) => ({ name, state }));
    }
}
