/** Callers that keep a connection and use it until it is closed, and that open new ones where the platform would. */
import { Agent, type IncomingMessage, request } from "node:http";
import { CALLER_PORT, READINESS_PORT } from "../tools/boxSettingsText.js";
import { wait } from "../tools/waiting.js";
import type { SoakBox } from "./soakBox.js";
import { type CallerOutcome, createHeaders, EVENT_END, type RequestKind, type SoakCallers } from "./soakCallers.js";
import {
    LARGE_ANSWER_BYTES,
    LARGE_LOOKUP_PATH,
    QUIET_STREAM_PATH,
    SLOW_CHANGE_PATH,
    SLOW_LOOKUP_PATH,
} from "./soakEngine.js";

/** Longer than the grace period of a stop; the timeout of the routes is longer. */
const DEADLINE_MS = 10_000;
/** Timeout of routes whose answers come at once. */
const SHORT_TIMEOUT_MS = 4_000;
/** How long a caller waits beyond its deadline for an answer. */
const PATIENCE_MS = 2_000;
const NO_ROUTER_PAUSE_MS = 100;
const MAX_SHORT_PAUSE_MS = 250;
const PROBE_PERIOD_MS = 1_000;
const MAX_FAILED_PROBES = 1;

const BODY_PARTS = ["{", "}"] as const;

/** What callers send and when, in milliseconds. */
export interface CallerHabits {
    readonly count: number;
    /** Callers open their first connections one after the other in this time, also while routers relay. */
    readonly openingMs: number;
    readonly maxLongPauseMs: number;
    /** Longest silence in the middle of a stream, before a large answer is read, and between the parts of a body. */
    readonly maxSilenceMs: number;
    /** Whether lookups and changes whose body is sent in one part take a second. */
    readonly areSlow: boolean;
}

/** Judges how answers end. */
export interface AnswerAudit {
    recordDeadline?(id: string, ms: number): void;
    recordSent(id: string, router: string, at: number): void;
    /** `hasBegun`: whether the head of the answer arrived. */
    recordAnswerEnd(id: string, at: number, isWhole: boolean, cause: string | undefined, hasBegun: boolean): void;
}

/** One request: how its caller sends it and reads the answer. */
interface KeptRequest {
    readonly kind: RequestKind;
    readonly path: string;
    /** Pause between the parts of the body, in milliseconds. */
    readonly partsMs: number;
    /** Time for which the answer is not read, in milliseconds. */
    readonly lateMs: number;
}

/** The platform's view: a router gets no new connections after two failed probes in a row. */
export class ReadinessProbes {
    private readonly failedCounts = new Map<SoakBox, number>();
    private running = true;
    private readonly tasks: Promise<void>[];

    constructor(private readonly routers: readonly SoakBox[]) {
        this.tasks = routers.map(router => this.runProbing(router));
    }

    listReady(): SoakBox[] {
        return this.routers.filter(router => (this.failedCounts.get(router) ?? 0) <= MAX_FAILED_PROBES);
    }

    async stop(): Promise<void> {
        this.running = false;
        await Promise.all(this.tasks);
    }

    private async runProbing(router: SoakBox): Promise<void> {
        while (this.running) {
            const isReady = await isRouterReady(router);
            this.failedCounts.set(router, isReady ? 0 : (this.failedCounts.get(router) ?? 0) + 1);
            await wait(PROBE_PERIOD_MS);
        }
    }
}

/** Whether the router answers the platform's readiness probe with 200. */
export async function isRouterReady({ options }: SoakBox): Promise<boolean> {
    const signal = AbortSignal.timeout(PROBE_PERIOD_MS);
    const url = `http://${options.ip}:${READINESS_PORT}/loomwinch/readyz`;
    return fetch(url, { signal, headers: { connection: "close" } }).then(({ status }) => status === 200, () => false);
}

export class KeptCallers {
    private readonly tasks: Promise<void>[];
    private running = true;

    /** `callers`: judge the answers together with their own. */
    constructor(
        private readonly habits: CallerHabits,
        private readonly routers: readonly SoakBox[],
        private readonly probes: Pick<ReadinessProbes, "listReady">,
        private readonly callers: SoakCallers,
        private readonly losses: AnswerAudit,
        private readonly random: () => number,
    ) {
        const { count, openingMs } = habits;
        this.tasks = Array.from({ length: count }, (_, i) => this.runCaller(i, i / count * openingMs));
    }

    /** Resolves when every request has ended. */
    async stop(): Promise<void> {
        this.running = false;
        await Promise.all(this.tasks);
    }

    /** One caller in four opens a connection for each request, and one in four pauses for long. */
    private async runCaller(index: number, delayMs: number): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const maxPauseMs = index % 4 === 1 ? this.habits.maxLongPauseMs : MAX_SHORT_PAUSE_MS;
        let router: SoakBox | undefined;
        await wait(delayMs);
        while (this.running) {
            const isKept = Object.keys(agent.freeSockets).length > 0;
            router = isKept ? router : this.chooseRouter();
            if (router === undefined) {
                await wait(NO_ROUTER_PAUSE_MS);
                continue;
            }
            await this.exchange(agent, router, this.createRequest());
            if (index % 4 === 0) {
                agent.destroy();
            }
            await wait(this.random() * maxPauseMs);
        }
        agent.destroy();
    }

    private chooseRouter(): SoakBox | undefined {
        const ready = this.probes.listReady();
        return ready[Math.floor(this.random() * ready.length)];
    }

    private createRequest(): KeptRequest {
        const { maxSilenceMs, areSlow } = this.habits;
        const silenceMs = Math.round(this.random() * maxSilenceMs);
        const kind = this.random();
        if (kind < 0.4) {
            return { kind: "stream", path: `${QUIET_STREAM_PATH}${silenceMs}`, partsMs: 0, lateMs: 0 };
        }
        if (kind < 0.5) {
            return { kind: "lookup", path: LARGE_LOOKUP_PATH, partsMs: 0, lateMs: silenceMs };
        }
        if (kind < 0.6) {
            return { kind: "lookup", path: "/l/x", partsMs: silenceMs, lateMs: 0 };
        }
        const lookupPath = areSlow ? SLOW_LOOKUP_PATH : "/l/x";
        const changePath = areSlow ? SLOW_CHANGE_PATH : "/c/x";
        return kind < 0.8
            ? { kind: "lookup", path: lookupPath, partsMs: 0, lateMs: 0 }
            : { kind: "change", path: changePath, partsMs: 0, lateMs: 0 };
    }

    private async exchange(agent: Agent, router: SoakBox, sent: KeptRequest): Promise<void> {
        const { kind, path, partsMs } = sent;
        const id = this.callers.registerRequest(kind, this.routers.indexOf(router), DEADLINE_MS);
        const isSlow = path.startsWith(QUIET_STREAM_PATH) || path === LARGE_LOOKUP_PATH;
        this.losses.recordDeadline?.(id, isSlow ? DEADLINE_MS : SHORT_TIMEOUT_MS);
        const outcome = await new Promise<CallerOutcome>(resolve => {
            const headers = { ...createHeaders(id, kind, DEADLINE_MS), "content-length": BODY_PARTS.join("").length };
            const signal = AbortSignal.timeout(DEADLINE_MS + PATIENCE_MS);
            const host = router.options.ip;
            const call = request({ agent, host, port: CALLER_PORT, method: "POST", path, headers, signal });
            call.on("finish", () => this.losses.recordSent(id, router.options.name, performance.now()));
            let hasBegun = false;
            call.on("response", message => {
                hasBegun = true;
                void this.receive(id, message, sent).then(resolve);
            });
            call.on("error", ({ message }) => {
                if (hasBegun) {
                    // The answer ends with the same error.
                    return;
                }
                this.losses.recordAnswerEnd(id, performance.now(), false, message, false);
                resolve(createOutcome(id, kind, undefined, ""));
            });
            call.write(BODY_PARTS[0]);
            setTimeout(() => call.end(BODY_PARTS[1]), partsMs);
        });
        this.callers.outcomes.push(outcome);
    }

    private async receive(id: string, message: IncomingMessage, { kind, lateMs }: KeptRequest): Promise<CallerOutcome> {
        let text = "";
        let cause: string | undefined;
        await wait(lateMs);
        try {
            for await (const bytes of message as AsyncIterable<Buffer>) {
                text += bytes.toString();
            }
        }
        catch (error) {
            cause = String(error);
        }
        this.losses.recordAnswerEnd(id, performance.now(), message.complete, cause, true);
        return createOutcome(id, kind, message.complete ? message : undefined, text);
    }
}

/** `answer`: undefined if the connection failed or the answer was cut off. */
function createOutcome(
    id: string,
    kind: RequestKind,
    answer: IncomingMessage | undefined,
    text: string,
): CallerOutcome {
    const status = answer?.statusCode;
    const signature = answer?.headers["instance-signature"] as string | undefined;
    const events = text.slice(0, text.lastIndexOf(EVENT_END) + EVENT_END.length);
    const isStream = status === undefined || status === 200;
    const lookup = text.length === LARGE_ANSWER_BYTES ? text.trimEnd() : text;
    const body = kind === "stream" ? (isStream && text.includes(EVENT_END) ? events : "") : lookup;
    return { id, streamId: id, kind, status, signature, body };
}
