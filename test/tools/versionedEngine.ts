/** An engine of a given software version. Each event of its streams names the version, so that a caller sees which ones it got. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { DirectFleet } from "./directFleet.js";

/** Number of events of a whole stream. */
export const STREAM_EVENTS = 6;
/** Number of events after which a stream breaks off where its path asks for that. */
export const BROKEN_AFTER_EVENTS = 2;
/** Path of streams that the engine breaks off unless they resume another one. */
export const BREAKING_PATH = "/s/breaking";
/** Path of streams that are slow enough for a caller to leave in the middle. */
export const SLOW_PATH = "/s/slow";
const SLOW_EVENT_MS = 40;
const EVENT_MS = 2;

export class VersionedEngine {
    /** Ids of the attempts that it ran. */
    readonly runs: string[] = [];
    private address = "";
    private born = 1_700_000_000_000;

    constructor(
        private readonly fleet: DirectFleet,
        readonly id: string,
        private readonly box: string,
        private version: string | undefined,
    ) {}

    /** Starts listening and reports to a controller until `leave` or the end of the fleet. */
    async start(controller: string): Promise<void> {
        this.address = await this.fleet.startEngine(this.box, (message, response) => {
            void this.serve(message, response);
        });
        await this.startReporting(controller);
    }

    /** Starts anew under the same id with another version; connections stay open. */
    async changeVersion(controller: string, version: string): Promise<void> {
        await this.fleet.stopReporting(this.id);
        this.version = version;
        this.born += 1;
        await this.startReporting(controller);
    }

    /** Ends the reports and deregisters. */
    async leave(controller: string): Promise<void> {
        await this.fleet.stopReporting(this.id);
        await this.fleet.sendRequest(
            "DELETE",
            this.fleet.getOperatorUrl(controller, `/loomwinch/instances/${this.id}`),
        );
    }

    private async startReporting(controller: string): Promise<void> {
        const { address, version, born } = this;
        const known = { backend: "engines", address, zone: "z", slots: 16, state: "ready", cold_left_ms: 0, born };
        const registration = version === undefined ? known : { ...known, config_rev: version };
        await this.fleet.startReporting(controller, this.id, registration);
    }

    private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const attempt = String(message.headers["attempt-id"]);
        this.runs.push(attempt);
        const lastEventId = Number(message.headers["last-event-id"] ?? 0);
        const isBreaking = message.url === BREAKING_PATH && lastEventId === 0;
        response.writeHead(200, {
            "Attempt-Id": attempt,
            "Instance-Signature": this.id,
            "Content-Type": "text/event-stream",
        });
        for (let id = lastEventId + 1; id <= STREAM_EVENTS && !response.destroyed; id++) {
            response.write(`id: ${id}\ndata: ${this.version ?? "none"}\n\n`);
            await new Promise(resolve => setTimeout(resolve, message.url === SLOW_PATH ? SLOW_EVENT_MS : EVENT_MS));
            if (isBreaking && id === BROKEN_AFTER_EVENTS) {
                message.socket.destroy();
                return;
            }
        }
        response.end();
    }
}
