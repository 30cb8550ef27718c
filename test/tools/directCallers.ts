/** Callers of a direct fleet who send one request after the other, each to one router. */
import { request } from "undici";
import type { DirectFleet } from "./directFleet.js";
import { wait } from "./waiting.js";

/** What a caller got. */
export interface CallerAnswer {
    readonly status: number;
    /** In seconds, as the router said it. */
    readonly retryAfter: string | undefined;
}

export class DirectCallers {
    private lastId = 0;
    private stopped = false;
    private readonly running: Promise<void>[] = [];

    constructor(private readonly fleet: DirectFleet, private readonly path = "/l/x") {}

    /** Sends one request. */
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

    /** Calls a router again and again, with a pause between, until `stop`; statuses go to `onStatus`. */
    start(router: string, pauseMs: number, onStatus: (status: number) => void): void {
        this.running.push(this.keepCalling(router, pauseMs, onStatus));
    }

    async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.running);
    }

    private async keepCalling(router: string, pauseMs: number, onStatus: (status: number) => void): Promise<void> {
        while (!this.stopped) {
            onStatus((await this.call(router)).status);
            await wait(pauseMs);
        }
    }
}
