/** Simulates a plain service: answers any call and counts the runs per request id. */
import { fastify, type FastifyInstance } from "fastify";
import { parseAddress } from "../../adapters/rpc/tcpNetwork.js";
import type { StandInServiceSettings } from "../../settings/schemas.js";

export class StandInService {
    private readonly app: FastifyInstance;
    private readonly runCounts = new Map<string, number>();

    constructor(private readonly settings: StandInServiceSettings) {
        this.app = fastify({ forceCloseConnections: true });
        this.app.removeAllContentTypeParsers();
        this.app.addContentTypeParser("*", { parseAs: "string" }, (_request, body, done) => done(null, body));
        this.app.get("/runs", () => Object.fromEntries(this.runCounts));
        this.app.all("/*", async request => {
            const id = String(request.headers["x-request-id"] ?? "");
            this.runCounts.set(id, (this.runCounts.get(id) ?? 0) + 1);
            await new Promise(resolve => setTimeout(resolve, this.settings.answerMs));
            return { service: this.settings.name, method: request.method, path: request.url, request: id };
        });
    }

    /** Starts listening and returns the base URL. */
    async start(): Promise<string> {
        const { host, port } = parseAddress(this.settings.listen);
        return this.app.listen({ host, port });
    }

    async stop(): Promise<void> {
        await this.app.close();
    }

    /** Returns the number of runs per request id. */
    getRunCounts(): ReadonlyMap<string, number> {
        return this.runCounts;
    }
}
