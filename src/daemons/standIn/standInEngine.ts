/**
 * Simulates a model engine for tests, replay and the quickstart: continuous batching with a slot limit and priorities, a
 * bounded prompt cache, cancel and resume, delayed load reports, delayed and lossy cache events, and fenced orders.
 */
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { parseAddress } from "../../adapters/rpc/tcpNetwork.js";
import { computeHash32 } from "../../domain/identifiers.js";
import type { StandInEngineSettings } from "../../settings/schemas.js";
import {
    countAnswerTokens,
    countPromptTokens,
    getStandInAnswerLength,
    getStandInToken,
    type StandInMessage,
} from "./standInAnswers.js";

const MAX_CACHE_EVENTS = 1_000;
const MAX_REQUEST_IDS = 1_000_000;

interface ChatBody {
    readonly model: string;
    readonly messages: StandInMessage[];
    readonly max_tokens?: number;
    readonly priority?: number;
    readonly continue_final_message?: boolean;
}

/** A fault injected by a test. */
export interface StandInFault {
    /** Closes the connection after this many tokens. */
    readonly dropAfterTokens?: number;
    /** Responds with status 500 without generating anything. */
    readonly refuse?: boolean;
    /** Number of requests that the fault still applies to. */
    count: number;
}

interface Waiter {
    readonly priority: number;
    readonly start: () => void;
}

export class StandInEngine {
    private readonly app: FastifyInstance;
    private readonly waiting: Waiter[] = [];
    private running = 0;
    private readonly cached = new Set<string>();
    private readonly runCounts = new Map<string, number>();
    private readonly cacheEvents: { at: number; prompt: string; }[] = [];
    private readonly loads: { at: number; running: number; waiting: number; }[] = [];
    private fault: StandInFault | undefined;
    private order = { term: 0, revision: 0, model: "" };
    private generatedTokens = 0;
    private randomState: number;

    constructor(private readonly settings: StandInEngineSettings) {
        this.randomState = settings.seed;
        this.app = fastify({ forceCloseConnections: true });
        this.addRoutes();
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

    setFault(fault: StandInFault): void {
        this.fault = fault;
    }

    private addRoutes(): void {
        this.app.post("/v1/chat/completions", (request, reply) => this.complete(request, reply));
        this.app.get("/load", () => this.getDelayedLoad());
        this.app.get("/cache-events", () => ({ events: this.getDelayedCacheEvents() }));
        this.app.get("/runs", () => Object.fromEntries(this.runCounts));
        this.app.get("/generated", () => ({ tokens: this.generatedTokens }));
        this.app.get("/order", () => this.order);
        this.app.post("/faults", request => {
            this.fault = request.body as StandInFault;
            return {};
        });
        this.app.post("/orders", (request, reply) => this.handleOrder(request, reply));
    }

    private async complete(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        const body = request.body as ChatBody;
        const fault = this.consumeFault();
        if (fault?.refuse === true) {
            await reply.status(500).send({ error: { message: "injected fault" } });
            return;
        }
        reply.hijack();
        const isDisconnected = (): boolean => reply.raw.destroyed;
        await this.waitForSlot(body.priority ?? 0);
        try {
            this.countRun(String(request.headers["x-request-id"] ?? ""));
            reply.raw.writeHead(200, { "Content-Type": "text/event-stream" });
            await this.generate(body, reply, isDisconnected, fault?.dropAfterTokens ?? Infinity);
        }
        finally {
            this.running -= 1;
            this.startNextQueued();
        }
    }

    private async generate(
        body: ChatBody,
        reply: FastifyReply,
        isDisconnected: () => boolean,
        dropAfter: number,
    ): Promise<void> {
        const resumed = body.continue_final_message === true;
        const messages = resumed ? body.messages.slice(0, -1) : body.messages;
        const from = resumed ? countAnswerTokens(String(body.messages[body.messages.length - 1]?.content ?? "")) : 0;
        const promptTokens = countPromptTokens(messages) + from;
        await this.prefill(messages, promptTokens);
        const end = Math.min(getStandInAnswerLength(messages), from + (body.max_tokens ?? Infinity));
        const head = { id: "stand-in", object: "chat.completion.chunk", created: 0, model: body.model };
        for (let index = from; index < end && !isDisconnected(); index++) {
            if (index - from >= dropAfter) {
                reply.raw.destroy();
                return;
            }
            const delta = { ...(index === 0 ? { role: "assistant" } : {}), content: getStandInToken(messages, index) };
            const usage = { prompt_tokens: promptTokens, completion_tokens: index - from + 1 };
            this.generatedTokens += 1;
            reply.raw.write(
                `data: ${JSON.stringify({ ...head, choices: [{ index: 0, delta, finish_reason: null }], usage })}\n\n`,
            );
            await wait(this.settings.tokenMs);
        }
        const reason = end < getStandInAnswerLength(messages) ? "length" : "stop";
        const usage = { prompt_tokens: promptTokens, completion_tokens: Math.max(0, end - from) };
        reply.raw.write(
            `data: ${
                JSON.stringify({ ...head, choices: [{ index: 0, delta: {}, finish_reason: reason }], usage })
            }\n\n`,
        );
        reply.raw.end("data: [DONE]\n\n");
    }

    private async prefill(messages: readonly StandInMessage[], promptTokens: number): Promise<void> {
        const key = String(computeHash32(JSON.stringify(messages).slice(0, 512)));
        const isCached = this.cached.delete(key);
        this.cached.add(key);
        if (this.cached.size > this.settings.cachedPrompts) {
            this.cached.delete(this.cached.values().next().value!);
        }
        if (!isCached) {
            this.addCacheEvent(key);
            await wait(promptTokens / 1000 * this.settings.prefillMsPerThousand);
        }
    }

    private addCacheEvent(prompt: string): void {
        if (this.getRandom() < this.settings.eventLossPart) {
            return;
        }
        this.cacheEvents.push({ at: performance.now(), prompt });
        if (this.cacheEvents.length > MAX_CACHE_EVENTS) {
            this.cacheEvents.shift();
        }
    }

    private async waitForSlot(priority: number): Promise<void> {
        this.recordLoad();
        if (this.running < this.settings.slots) {
            this.running += 1;
            return;
        }
        await new Promise<void>(resolve => {
            this.waiting.push({ priority, start: resolve });
        });
    }

    private startNextQueued(): void {
        this.recordLoad();
        if (this.waiting.length === 0 || this.running >= this.settings.slots) {
            return;
        }
        this.waiting.sort((a, b) => a.priority - b.priority);
        this.running += 1;
        this.waiting.shift()!.start();
    }

    private recordLoad(): void {
        this.loads.push({ at: performance.now(), running: this.running, waiting: this.waiting.length });
        if (this.loads.length > MAX_CACHE_EVENTS) {
            this.loads.shift();
        }
    }

    private getDelayedLoad(): { running: number; waiting: number; } {
        const before = performance.now() - this.settings.reportLagMs;
        const late = this.loads.filter(load => load.at <= before).pop();
        return { running: late?.running ?? 0, waiting: late?.waiting ?? 0 };
    }

    private getDelayedCacheEvents(): string[] {
        const before = performance.now() - this.settings.reportLagMs;
        return this.cacheEvents.filter(event => event.at <= before).map(event => event.prompt);
    }

    private countRun(requestId: string): void {
        if (this.runCounts.size < MAX_REQUEST_IDS) {
            this.runCounts.set(requestId, (this.runCounts.get(requestId) ?? 0) + 1);
        }
    }

    private consumeFault(): StandInFault | undefined {
        if (this.fault === undefined || this.fault.count <= 0) {
            return undefined;
        }
        this.fault.count -= 1;
        return this.fault;
    }

    private async handleOrder(request: FastifyRequest, reply: FastifyReply): Promise<void> {
        const order = request.body as { term: number; revision: number; model: string; };
        if (this.settings.checksOrders && order.term < this.order.term) {
            await reply.status(409).send({ error: { message: `term ${order.term} is lower than ${this.order.term}` } });
            return;
        }
        this.order = { term: order.term, revision: order.revision, model: order.model };
        await reply.send({});
    }

    /** A seeded linear congruential generator, so that equal settings lose the same events. */
    private getRandom(): number {
        this.randomState = (Math.imul(this.randomState, 1664525) + 1013904223) >>> 0;
        return this.randomState / 2 ** 32;
    }
}

function wait(ms: number): Promise<void> {
    return ms <= 0 ? new Promise(resolve => setImmediate(resolve)) : new Promise(resolve => setTimeout(resolve, ms));
}
