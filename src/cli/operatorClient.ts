/** HTTP client for the operator API. */
import { request } from "undici";
import { createRefusal, RefusalError, type ResultCodeName, ResultCodes } from "../domain/resultCodes.js";

const HEADERS_TIMEOUT_MS = 15_000;

/** Base URL of a controller's operator API and the token to authenticate with. */
export interface OperatorTarget {
    readonly server: string;
    readonly token: string;
}

interface ErrorBody {
    readonly error?: { readonly type?: string; readonly message?: string; readonly ran?: "no" | "unknown" | "yes"; };
}

/** Returns the decoded JSON response. Throws a RefusalError if the controller refuses the request or is unreachable. */
export async function callOperatorApi(
    target: OperatorTarget,
    method: "GET" | "PUT" | "POST" | "DELETE",
    path: string,
    body?: unknown,
): Promise<unknown> {
    const response = await sendRequest(target, method, path, body);
    const answer = await response.body.json() as unknown;
    if (response.statusCode >= 300) {
        throw createApiError(answer as ErrorBody, response.statusCode);
    }
    return answer;
}

/** Yields each object of a newline-delimited JSON stream. */
export async function* watchOperatorApi(target: OperatorTarget, path: string): AsyncGenerator<unknown> {
    const response = await sendRequest(target, "GET", path, undefined);
    if (response.statusCode >= 300) {
        throw createApiError(await response.body.json() as ErrorBody, response.statusCode);
    }
    let partialLine = "";
    for await (const bytes of response.body as AsyncIterable<Buffer>) {
        const lines = (partialLine + bytes.toString("utf8")).split("\n");
        partialLine = lines.pop()!;
        for (const line of lines) {
            yield JSON.parse(line);
        }
    }
}

async function sendRequest(
    target: OperatorTarget,
    method: "GET" | "PUT" | "POST" | "DELETE",
    path: string,
    body: unknown,
): ReturnType<typeof request> {
    try {
        return await request(new URL(path, target.server), {
            method,
            headers: {
                authorization: `Bearer ${target.token}`,
                ...(body === undefined ? {} : { "content-type": "application/json" }),
            },
            body: body === undefined ? null : JSON.stringify(body),
            headersTimeout: HEADERS_TIMEOUT_MS,
            bodyTimeout: 0,
        });
    }
    catch (error) {
        const detail = `${target.server}: ${(error as Error).message}`;
        throw new RefusalError(createRefusal("peerGone", detail, method === "GET" ? "no" : "unknown"));
    }
}

function createApiError(body: ErrorBody, status: number): RefusalError {
    const type = body.error?.type ?? "";
    const code: ResultCodeName = type in ResultCodes ? type as ResultCodeName : "internal";
    return new RefusalError(
        createRefusal(code, body.error?.message ?? `HTTP status ${status}`, body.error?.ran ?? "unknown"),
    );
}
