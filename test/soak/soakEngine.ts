/** An engine or plain service of the soak: notes each run and each token, registers itself, and fails when told. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { CutRelay } from "../tools/cutRelay.js";
import type { LossAudit } from "../tools/lossAudit.js";
import { registerUpstream } from "../tools/registerUpstream.js";
import { UpstreamAudit } from "../tools/upstreamAudit.js";
import { wait } from "../tools/waiting.js";

/** Tokens of one event of a stream. */
export const TOKENS_PER_EVENT = 5;
const EVENT_MS = 15;
/** A lookup or change of these paths takes a while. */
export const SLOW_LOOKUP_PATH = "/l/slow";
export const SLOW_CHANGE_PATH = "/c/slow";
const SLOW_PATHS: readonly (string | undefined)[] = [SLOW_LOOKUP_PATH, SLOW_CHANGE_PATH];
const SLOW_LOOKUP_MS = 1_000;
/** A stream of this path and a number is silent for so many milliseconds in its middle. */
export const QUIET_STREAM_PATH = "/s/quiet/";
/** A stream of this path has this many events. */
export const LONG_STREAM_PATH = "/s/long";
export const LONG_STREAM_EVENTS = 120;
const EVENTS_BEFORE_SILENCE = 2;
/** A lookup of this path has an answer larger than the buffers of sockets. */
export const LARGE_LOOKUP_PATH = "/l/large";
export const LARGE_ANSWER_BYTES = 2_000_000;
/** A lookup of this path ends its upstream before an answer begins. */
export const DEADLY_LOOKUP_PATH = "/l/deadly";
/** Part of prompts that crashes an engine which begins to answer a request with it. */
export const DEADLY_PART = "dead01";
const CRASHED_MS = 700;
const REGISTER_MS = 400;
const ENGINE_PORT = 8028;

/** What all routers together may send; `SoakBox` writes it to their settings. */
export const SOAK_LIMITS = { retryRatio: 0.2, retrySlack: 52, windowMs: 10_000 } as const;

/** How the upstreams of a plain service misbehave. */
export const MISBEHAVIOURS = ["fail", "shed", "hang", "reset", "slow"] as const;
export type Misbehaviour = typeof MISBEHAVIOURS[number];
/** Time for which an upstream that sheds wants nothing. */
const BACKOFF_MS = 1_500;
const SLOW_FAILURE_MS = 700;
const SLOW_ANSWER_MS = 1_500;
/** Of ten requests that a slow upstream runs, how many fail. */
const SLOW_FAILURES_OF_TEN = 6;

/** A run of a request. Monotonic clock, milliseconds. */
export interface SoakRun {
    readonly id: string;
    readonly upstream: string;
    readonly at: number;
    /** When its connection was closed or its answer was whole; undefined until then. */
    endedAt?: number;
}

/** What the upstreams of a soak saw, together. */
export class RunBook {
    audit = new UpstreamAudit(SOAK_LIMITS);
    /** Undefined until planned work is judged. */
    losses: LossAudit | undefined;
    /** Ids of the requests of each run, in order. */
    readonly runs: SoakRun[] = [];
    /** When engines began to answer requests with the deadly part. Monotonic clock, milliseconds. */
    readonly deadlyRuns: number[] = [];
    /** Runs of the lookup that ends its upstreams. */
    deadlyLookups = 0;
    /** Bodies of answers that were made whole, by request. */
    readonly answers = new Map<string, Set<string>>();
    /** Tokens that each client account was handed. */
    readonly tokens = new Map<string, number>();
    private readonly prompts = new Set<string>();

    /** Judges what is sent from now on by itself. */
    startAudit(): UpstreamAudit {
        this.audit = new UpstreamAudit(SOAK_LIMITS);
        return this.audit;
    }

    countRuns(id: string): number {
        return this.runs.filter(run => run.id === id).length;
    }

    /** A prompt counts once a request. */
    addPrompt(account: string, id: string, tokens: number): void {
        if (!this.prompts.has(id)) {
            this.prompts.add(id);
            this.addTokens(account, tokens);
        }
    }

    addTokens(account: string, tokens: number): void {
        this.tokens.set(account, (this.tokens.get(account) ?? 0) + tokens);
    }

    addAnswer(id: string, body: string): void {
        const bodies = this.answers.get(id) ?? new Set();
        this.answers.set(id, bodies.add(body));
    }
}

/** How many events the answer to a request has: the same at every engine, so that a stream can go on elsewhere. */
export function computeEventCount(id: string): number {
    return 3 + Number.parseInt(id.slice(-2), 16) % 7;
}

/** One event of a stream. `id`: the attempt that began it. */
export function formatEvent(id: string, number: number, version: string): string {
    return `id: ${number}\ndata: ${id} ${number} ${version}\n\n`;
}

/** Software versions of the engines; what two of them write does not fit together. */
export const SOAK_VERSIONS = ["v1", "v2", "v3"] as const;
export type SoakVersion = typeof SOAK_VERSIONS[number];

export class SoakEngine {
    readonly relay: CutRelay;
    private readonly server: Server;
    private address = "";
    private sequence = 0;
    private incarnation = 0;
    private isUp = true;
    private isLeaving = false;
    private stopped = false;
    private misbehaviour: Misbehaviour | undefined;
    private lookupCount = 0;

    constructor(
        private readonly name: string,
        private readonly service: string,
        private readonly ip: string,
        private readonly book: RunBook,
        private readonly controllers: readonly string[],
        private version: SoakVersion,
    ) {
        this.relay = new CutRelay(ENGINE_PORT, ip);
        this.server = createServer((message, response) => void this.answer(message, response));
    }

    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(ENGINE_PORT, this.ip, resolve);
        });
        this.address = `127.0.0.1:${await this.relay.start()}`;
        void this.runRegistering();
    }

    /** Breaks off everything and says nothing more. */
    crash(): void {
        this.isUp = false;
        this.server.closeAllConnections();
    }

    /** Comes back as a new incarnation at the same address. */
    restart(): void {
        if (!this.isUp) {
            this.isUp = true;
            this.incarnation += 1;
            this.sequence = 0;
        }
    }

    /** Ends as a process does: its address refuses connections until it is back at another one. */
    private endProcess(): void {
        this.crash();
        this.relay.stop();
        setTimeout(() => void this.startAgain(), CRASHED_MS);
    }

    private async startAgain(): Promise<void> {
        if (!this.stopped) {
            this.address = `127.0.0.1:${await this.relay.start()}`;
            this.restart();
        }
    }

    /** Ends without notice and comes back at once as a new incarnation with another software version. */
    release(version: SoakVersion): void {
        this.crash();
        this.version = version;
        this.restart();
    }

    /** Says that it leaves; resolves once a controller has acknowledged it. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        while (!await this.register()) {
            await new Promise(resolve => setTimeout(resolve, REGISTER_MS));
        }
    }

    /** Does so until the next call. `misbehaviour`: undefined to serve; for lookups and changes alone. */
    setMisbehaviour(misbehaviour: Misbehaviour | undefined): void {
        this.misbehaviour = misbehaviour;
    }

    getId(): string {
        return `${this.name}-${this.incarnation}`;
    }

    stop(): void {
        this.stopped = true;
        this.server.closeAllConnections();
        this.server.close();
        this.relay.stop();
    }

    private async runRegistering(): Promise<void> {
        while (!this.stopped) {
            if (this.isUp) {
                await this.register();
            }
            await new Promise(resolve => setTimeout(resolve, REGISTER_MS));
        }
    }

    /** Returns whether a controller has acknowledged it. */
    private register(): Promise<boolean> {
        this.sequence += 1;
        return registerUpstream(this.controllers.map(address => `http://${address}`), this.getId(), {
            backend: this.service,
            address: this.address,
            zone: "z",
            slots: 64,
            state: this.isLeaving ? "draining" : "ready",
            seqno: this.sequence,
            config_rev: this.version,
        });
    }

    private async answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const id = String(message.headers["attempt-id"]);
        const expected = message.headers["expect-instance"];
        if (!this.isUp) {
            message.socket.destroy();
            return;
        }
        const isMisdirected = expected !== undefined && expected !== this.getId();
        const isPlain = !message.url!.startsWith("/s/");
        const isShed = isPlain && this.misbehaviour === "shed";
        const deadline = message.headers["deadline-ms"];
        this.book.audit.recordArrival({
            id,
            service: this.service,
            upstream: this.getId(),
            at: performance.now(),
            deadlineMs: deadline === undefined ? undefined : Number(deadline),
            isNotRun: isMisdirected || isShed,
            isCutOff: false,
            ...isShed && !isMisdirected && { backoffMs: BACKOFF_MS },
        });
        if (isMisdirected) {
            response.writeHead(421, { "Not-Executed": "1", "Attempt-Id": id }).end();
            return;
        }
        if (isShed) {
            const retryAfter = String(BACKOFF_MS / 1_000);
            response.writeHead(503, { "Not-Executed": "1", "Attempt-Id": id, "Retry-After": retryAfter }).end();
            return;
        }
        this.recordRun(id, response);
        response.on("error", () => undefined);
        if (isPlain && this.misbehaviour !== undefined) {
            this.misbehave(this.misbehaviour, id, message, response);
            return;
        }
        if (message.url!.startsWith("/s/")) {
            await this.answerStream(id, message, response);
        }
        else if (message.url === DEADLY_LOOKUP_PATH) {
            this.book.deadlyLookups += 1;
            setTimeout(() => this.endProcess(), EVENT_MS);
        }
        else {
            const size = message.url === LARGE_LOOKUP_PATH ? LARGE_ANSWER_BYTES : 0;
            this.answerLookup(id, SLOW_PATHS.includes(message.url) ? SLOW_LOOKUP_MS : EVENT_MS, response, size);
        }
    }

    private recordRun(id: string, response: ServerResponse): void {
        const upstream = this.getId();
        const run: SoakRun = { id, upstream, at: performance.now() };
        this.book.runs.push(run);
        this.book.losses?.recordRun(id, performance.now());
        response.once("close", () => {
            run.endedAt = performance.now();
            const isSound = this.isUp && this.getId() === upstream;
            const how = response.writableFinished ? "whole" : isSound ? "callerLeft" : "brokenOff";
            this.book.losses?.recordRunEnd(id, performance.now(), how);
        });
    }

    private misbehave(
        misbehaviour: Misbehaviour,
        id: string,
        message: IncomingMessage,
        response: ServerResponse,
    ): void {
        const head = { "Attempt-Id": id, "Instance-Signature": this.getId() };
        this.lookupCount += 1;
        if (misbehaviour === "reset") {
            message.socket.resetAndDestroy();
        }
        else if (misbehaviour === "fail") {
            response.writeHead(500, head).end("failed");
        }
        else if (misbehaviour === "slow" && this.lookupCount % 10 < SLOW_FAILURES_OF_TEN) {
            setTimeout(() => response.writeHead(500, head).end("failed"), SLOW_FAILURE_MS);
        }
        else if (misbehaviour === "slow") {
            this.answerLookup(id, SLOW_ANSWER_MS, response);
        }
    }

    /** `size`: length to which the answer is filled up, in bytes. */
    private answerLookup(id: string, ms: number, response: ServerResponse, size = 0): void {
        const body = `${id} from ${this.getId()}`;
        this.book.addAnswer(id, body);
        setTimeout(() => {
            response.writeHead(200, { "Attempt-Id": id, "Instance-Signature": this.getId() }).end(body.padEnd(size));
        }, ms);
    }

    private async answerStream(id: string, message: IncomingMessage, response: ServerResponse): Promise<void> {
        const account = String(message.headers["tenant"]);
        const [promptTokens] = String(message.headers["token-usage"]).split(",");
        this.book.addPrompt(account, id, Number(promptTokens));
        const from = Number(message.headers["last-event-id"] ?? 0);
        const streamId = String(message.headers["resumes"] ?? id);
        const { version } = this;
        const silenceMs = message.url!.startsWith(QUIET_STREAM_PATH)
            ? Number(message.url!.slice(QUIET_STREAM_PATH.length))
            : EVENT_MS;
        const upstream = this.getId();
        response.writeHead(200, {
            "Attempt-Id": id,
            "Instance-Signature": this.getId(),
            "Content-Type": "text/event-stream",
        });
        const parts = String(message.headers["prefix-hash"] ?? "").split(",").map(part => part.split(":")[0]);
        if (parts.includes(DEADLY_PART)) {
            this.book.deadlyRuns.push(performance.now());
            response.write(formatEvent(streamId, from + 1, version));
            setTimeout(() => this.endProcess(), EVENT_MS);
            return;
        }
        const eventCount = message.url === LONG_STREAM_PATH ? LONG_STREAM_EVENTS : computeEventCount(streamId);
        for (let number = from + 1; number <= eventCount; number++) {
            await wait(number === EVENTS_BEFORE_SILENCE + 1 ? silenceMs : EVENT_MS);
            if (response.destroyed || !this.isUp || this.getId() !== upstream) {
                return;
            }
            this.book.addTokens(account, TOKENS_PER_EVENT);
            response.write(formatEvent(streamId, number, version));
        }
        response.end();
    }
}
