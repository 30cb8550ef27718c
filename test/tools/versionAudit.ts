/** Judges whether callers get answers by an older configuration after their router has answered by a newer one. */
import { type PlayPath, tryGetVersion } from "./playEngine.js";

/** After an answer by a configuration, its router may handle requests as an older one says for so long. */
const MAX_OLDER_MS = 250;

/** A whole answer. Times: monotonic clock, milliseconds. */
export interface PlayAnswer {
    readonly id: string;
    readonly router: string;
    readonly path: PlayPath;
    readonly status: number;
    /** When the last byte of the request was handed to the socket. */
    readonly sentAt: number;
    readonly endedAt: number;
}

/** Returns a line for each request that a router did not find a route for though it had answered by that route earlier. */
export function listOlderAnswers(answers: readonly PlayAnswer[]): string[] {
    return answers.flatMap(({ id, router, path, status, sentAt }) => {
        const version = tryGetVersion(path);
        const servedAt = version === undefined ? Infinity : getServedAt(answers, router, version);
        return status === 404 && sentAt > servedAt + MAX_OLDER_MS
            ? [`${id} ${router}: ${path} not found ${Math.round(sentAt - servedAt)} ms after it was served`]
            : [];
    });
}

/** Returns when a router first answered by a configuration that has the version, or a newer one. */
function getServedAt(answers: readonly PlayAnswer[], router: string, version: number): number {
    const served = answers.filter(answer =>
        answer.router === router && answer.status === 200 && (tryGetVersion(answer.path) ?? 0) >= version
    );
    return Math.min(...served.map(({ endedAt }) => endedAt));
}
