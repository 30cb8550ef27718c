/** Authenticates and validates callers' requests, and creates a job with the account, service, budget and token bounds. */
import * as z from "zod";
import type { ConfigView } from "../../domain/configView.js";
import { computeDigest, createRandomId, createRequestId, getOwnerPrefix } from "../../domain/identifiers.js";
import { isKeyValid, tryGetKeyAccount } from "../../domain/keys.js";
import { MAX_TOKENS, type ServiceSpec } from "../../domain/objects.js";
import { createRefusal, type Refusal, RefusalError } from "../../domain/resultCodes.js";
import { computePromptBound, resolveRanking } from "../../domain/tokenBounds.js";
import type { Clock } from "../../ports/clock.js";
import type { PeerIdentity } from "../../ports/peer.js";
import type { Job } from "./job.js";

const MAX_DEADLINE_MS = 3_600_000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 200;
/** Verified API keys are cached, because hashing them for each request is expensive. */
const MAX_CACHED_KEYS = 10_000;

/** Headers of a caller's request that a router evaluates. */
export interface CallerHeaders {
    readonly bearer: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly repeatable: string | undefined;
    readonly deadlineMs: string | undefined;
}

const chatBody = z.looseObject({
    model: z.string().min(1).max(63),
    messages: z.array(z.looseObject({ role: z.string().max(32) })).min(1).max(2000),
    stream: z.boolean().optional(),
    n: z.int().optional(),
    stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
});
export type ChatBody = z.infer<typeof chatBody>;

export class JobFactory {
    private readonly verifiedKeys = new Map<string, string>();
    private readonly ownerPrefix: string;

    constructor(private readonly view: ConfigView, private readonly clock: Clock, identity: PeerIdentity) {
        this.ownerPrefix = getOwnerPrefix(identity);
    }

    /** Creates the job of a chat request. Throws a RefusalError with `ran` "no" if the request is invalid. */
    createChatJob(headers: CallerHeaders, body: unknown): { job: Job; body: ChatBody; } {
        const account = this.authenticateAccount(headers.bearer);
        const parsed = chatBody.safeParse(body);
        if (!parsed.success) {
            throw new RefusalError(createRefusal("malformedBody", formatFirstIssue(parsed.error)));
        }
        const chat = parsed.data;
        if (chat.n !== undefined && chat.n !== 1) {
            throw new RefusalError(createRefusal("unsupportedOption", "n must be 1"));
        }
        const spec = this.getServiceSpec(chat.model, "model");
        const outputCap = resolveOutputCap(chat, spec);
        const promptBound = computePromptBound(chat);
        const prompt = JSON.stringify(chat.messages);
        const request = { type: "chat" as const, body: chat, resumeFrom: 0, resumeText: "" };
        const digest = computeDigest(JSON.stringify({ ...chat, stream: undefined, stream_options: undefined }));
        const job = this.createJob(headers, account, chat.model, spec, {
            promptBound,
            outputCap,
            request,
            prompt,
            digest,
        });
        return { job, body: chat };
    }

    /** Creates the job of a call to a plain service. Throws a RefusalError with `ran` "no" if the call is invalid. */
    createPlainServiceJob(
        headers: CallerHeaders,
        service: string,
        call: { method: string; path: string; headers: Record<string, string>; body: Buffer; },
    ): Job {
        const account = this.authenticateAccount(headers.bearer);
        const spec = this.getServiceSpec(service, "plain");
        const body = call.body.toString("base64");
        const request = { type: "plain" as const, method: call.method, path: call.path, headers: call.headers, body };
        const digest = computeDigest(`${call.method} ${call.path} ${body}`);
        return this.createJob(headers, account, service, spec, {
            promptBound: spec.tokensPerCall,
            outputCap: 0,
            request,
            prompt: "",
            digest,
        });
    }

    private createJob(
        headers: CallerHeaders,
        account: string,
        service: string,
        serviceSpec: ServiceSpec,
        bounds: Pick<Job, "promptBound" | "outputCap" | "request" | "prompt" | "digest">,
    ): Job {
        const budget = this.view.tryGetBudget(account, service);
        if (budget === undefined) {
            throw new RefusalError(
                createRefusal("budgetMissing", `account ${account} has no budget for service ${service}`),
            );
        }
        const key = parseIdempotencyKey(headers.idempotencyKey);
        const deadlineMs = parseDeadlineMs(headers.deadlineMs) ?? serviceSpec.defaultDeadlineMs;
        return {
            ...bounds,
            requestId: createRequestId(account, key ?? createRandomId()),
            owner: `${this.ownerPrefix}${createRandomId()}`,
            hasIdempotencyKey: key !== undefined,
            account,
            service,
            serviceSpec,
            budget,
            repeatable: parseRepeatable(headers.repeatable) ?? serviceSpec.repeatable,
            deadline: this.clock.getMonotonicMs() + deadlineMs,
            ranking: resolveRanking(this.view.getRankRules(service), bounds.promptBound, bounds.outputCap),
        };
    }

    private authenticateAccount(bearer: string | undefined): string {
        if (bearer === undefined) {
            throw new RefusalError(createRefusal("keyMissing"));
        }
        const name = tryGetKeyAccount(bearer);
        const account = name === undefined ? undefined : this.view.tryGet("clientAccount", name);
        if (account === undefined || !this.isKeyVerified(bearer, account.spec.keyHashes)) {
            throw new RefusalError(createRefusal("keyWrong"));
        }
        if (account.spec.suspended) {
            throw new RefusalError(createRefusal("accountSuspended", account.name));
        }
        return account.name;
    }

    /** Caches a valid key together with the hashes it was verified against, so that a change of them invalidates it. */
    private isKeyVerified(bearer: string, hashes: readonly string[]): boolean {
        const joinedHashes = hashes.join();
        if (this.verifiedKeys.get(bearer) === joinedHashes) {
            return true;
        }
        if (!isKeyValid(bearer, hashes)) {
            return false;
        }
        if (this.verifiedKeys.size >= MAX_CACHED_KEYS) {
            this.verifiedKeys.clear();
        }
        this.verifiedKeys.set(bearer, joinedHashes);
        return true;
    }

    private getServiceSpec(name: string, type: ServiceSpec["type"]): ServiceSpec {
        const spec = this.view.tryGetService(name);
        if (spec === undefined || spec.type !== type) {
            throw new RefusalError(createRefusal("serviceUnknown", name));
        }
        return spec;
    }
}

function resolveOutputCap(chat: ChatBody, spec: ServiceSpec): number {
    const requestedTokens = chat["max_completion_tokens"] ?? chat["max_tokens"] ?? undefined;
    if (requestedTokens === undefined) {
        return Math.min(spec.defaultOutputTokens, spec.maxOutputTokens);
    }
    if (
        !Number.isSafeInteger(requestedTokens) || (requestedTokens as number) < 1
        || (requestedTokens as number) > MAX_TOKENS
    ) {
        throw new RefusalError(createRefusal("badTokenCount", "max_tokens must be a positive integer"));
    }
    if ((requestedTokens as number) > spec.maxOutputTokens) {
        throw new RefusalError(
            createRefusal("badTokenCount", `max_tokens exceeds the service's limit of ${spec.maxOutputTokens}`),
        );
    }
    return requestedTokens as number;
}

function parseIdempotencyKey(text: string | undefined): string | undefined {
    if (text !== undefined && (text.length > MAX_IDEMPOTENCY_KEY_LENGTH || !/^[\x21-\x7e]+$/.test(text))) {
        throw new RefusalError(
            createRefusal(
                "badHeader",
                `Idempotency-Key must be 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} printable characters without spaces`,
            ),
        );
    }
    return text;
}

function parseDeadlineMs(text: string | undefined): number | undefined {
    if (text === undefined) {
        return undefined;
    }
    const ms = Number(text);
    if (!Number.isSafeInteger(ms) || ms < 1 || ms > MAX_DEADLINE_MS) {
        throw new RefusalError(
            createRefusal("badHeader", `x-loomwinch-deadline-ms must be an integer from 1 to ${MAX_DEADLINE_MS}`),
        );
    }
    return ms;
}

function parseRepeatable(text: string | undefined): boolean | undefined {
    if (text === undefined || text === "true" || text === "false") {
        return text === undefined ? undefined : text === "true";
    }
    throw new RefusalError(createRefusal("badHeader", "x-loomwinch-repeatable must be true or false"));
}

function formatFirstIssue(error: z.ZodError): string {
    const issue = error.issues[0]!;
    return `${issue.path.join(".")}: ${issue.message}`;
}

/** Returns the refusal for a new request while the router is not ready or at its limit of open requests. */
export function tryGetReadinessRefusal(
    isReady: boolean,
    openRequests: number,
    maxOpenRequests: number,
): Refusal | undefined {
    if (!isReady) {
        return createRefusal("notReady", undefined, "no", 1000);
    }
    return openRequests >= maxOpenRequests
        ? createRefusal("tooManyRequests", `${openRequests} requests are open`, "no", 1000)
        : undefined;
}
