/** Callers of a direct fleet. Each calls one router and sends one request at a time. */
import { request } from "undici";
import type { DirectFleet } from "./directFleet.js";
import { wait } from "./waiting.js";

export interface CallerAnswer {
    readonly status: number;
    /** Value of the Retry-After header, in seconds. */
    readonly retryAfter: string | undefined;
}

export class DirectCallers {
    private lastId = 0;
    private stopped = false;
    private readonly running: Promise<void>[] = [];

    constructor(private readonly fleet: DirectFleet, private readonly path = "/l/x") {}

    async call(router: string): Promise<CallerAnswer> {
        this.lastId += 1;
        const answer = await request(this.fleet.getCallerUrl(router, this.path), {
            method: "POST",
            headers: {
                "Host": "api.example",
                "Attempt-Id": `${router}-${this.lastId}`,
                "Credential": "key-1",
            },
            body: "{}",
        });
        await answer.body.dump();
        return { status: answer.statusCode, retryAfter: answer.headers["retry-after"] as string | undefined };
    }

    /** Starts a caller that calls a router until `stop`, with a pause after each response. */
    startCaller(router: string, pauseMs: number, onStatus: (status: number) => void): void {
        this.running.push(this.callRepeatedly(router, pauseMs, onStatus));
    }

    async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.running);
    }

    private async callRepeatedly(router: string, pauseMs: number, onStatus: (status: number) => void): Promise<void> {
        while (!this.stopped) {
            onStatus((await this.call(router)).status);
            await wait(pauseMs);
        }
    }
}
