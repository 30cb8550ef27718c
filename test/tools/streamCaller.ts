/** A caller of streams. It keeps what it got and can take up a stream that broke off at any router. */
import { request } from "undici";
import type { DirectFleet } from "./directFleet.js";
import { STREAM_EVENTS } from "./versionedEngine.js";

/** What a caller has of one stream. */
export interface CallerStream {
    /** Id of the attempt that brought the first event; undefined before. */
    readonly firstAttempt: string | undefined;
    /** Versions named by the events, in order. */
    readonly versions: readonly string[];
    /** Status of the last attempt; 0 if there was no answer. */
    readonly status: number;
    /** Value of the Retry-After header of the last attempt, in seconds. */
    readonly retryAfter: string | undefined;
}

const NEW_STREAM: CallerStream = { firstAttempt: undefined, versions: [], status: 0, retryAfter: undefined };
const DEADLINE_MS = 3_500;

/** Whether the caller has every event. */
export function isWhole({ versions }: CallerStream): boolean {
    return versions.length === STREAM_EVENTS;
}

/** Whether the events come from more than one software version. */
export function hasMixedVersions({ versions }: CallerStream): boolean {
    return new Set(versions).size > 1;
}

export class StreamCaller {
    private lastId = 0;

    constructor(private readonly fleet: DirectFleet, private readonly key = "key-1") {}

    /** Requests a new stream. `maxEvents`: closes the connection after this many. */
    start(router: string, path: string, maxEvents = Infinity): Promise<CallerStream> {
        return this.call(router, path, NEW_STREAM, maxEvents);
    }

    /** Takes up a stream after its last event. */
    resume(router: string, path: string, stream: CallerStream, maxEvents = Infinity): Promise<CallerStream> {
        return this.call(router, path, stream, maxEvents);
    }

    private async call(
        router: string,
        path: string,
        stream: CallerStream,
        maxEvents: number,
    ): Promise<CallerStream> {
        this.lastId += 1;
        const attempt = `${this.key}-a${this.lastId}`;
        const versions = [...stream.versions];
        const resumption = stream.firstAttempt === undefined
            ? {}
            : { "Resumes": stream.firstAttempt, "Last-Event-Id": String(versions.length) };
        let status = 0;
        let retryAfter: string | undefined;
        try {
            const answer = await request(this.fleet.getCallerUrl(router, path), {
                method: "POST",
                headers: {
                    "Host": "api.example",
                    "Attempt-Id": attempt,
                    "Credential": this.key,
                    "Deadline-Ms": String(DEADLINE_MS),
                    "Token-Usage": "10,5",
                    ...resumption,
                },
                body: "{}",
            });
            status = answer.statusCode;
            retryAfter = answer.headers["retry-after"] as string | undefined;
            await collectVersions(answer.body, status, versions, maxEvents);
        }
        catch {
            // The connection was lost; what arrived before counts.
        }
        const hasFirstEvent = versions.length > 0;
        return {
            firstAttempt: stream.firstAttempt ?? (hasFirstEvent ? attempt : undefined),
            versions,
            status,
            retryAfter,
        };
    }
}

async function collectVersions(
    body: AsyncIterable<Buffer>,
    status: number,
    versions: string[],
    maxEvents: number,
): Promise<void> {
    let rest = "";
    let received = 0;
    for await (const bytes of body) {
        const events = (rest + bytes.toString()).split("\n\n");
        rest = events.pop()!;
        for (const event of status === 200 ? events : []) {
            versions.push(/^data: (.*)$/m.exec(event)![1]!);
            received += 1;
            if (received === maxEvents) {
                // Leaving the loop closes the connection.
                return;
            }
        }
    }
}
