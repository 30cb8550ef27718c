/** Callers of the soak: tasks that send one request after the other, every second one over connections that it keeps. */
import { Client, type Dispatcher } from "undici";
import type { RunBook } from "./soakEngine.js";
import { computeEventCount, formatEvent, TOKENS_PER_EVENT } from "./soakEngine.js";

/** What callers ask for: `change` may run once at the most. */
export type RequestKind = "stream" | "lookup" | "change";

/** How one request ended. */
export interface CallerOutcome {
    readonly id: string;
    readonly kind: RequestKind;
    /** Undefined where the connection failed or the answer was cut off. */
    readonly status: number | undefined;
    readonly signature: string | undefined;
    readonly body: string | undefined;
}

/** Accounts and their keys. The first one's tokens run out in the course of a soak. */
export const SoakAccounts = [
    { name: "small", key: "key-small", prepaid: 8_000 },
    { name: "large", key: "key-large", prepaid: 900_000 },
] as const;

export const PROMPT_TOKENS = 40;
const OUTPUT_TOKENS = 10 * TOKENS_PER_EVENT;
const DEADLINE_MS = 3_000;
/** A caller waits a little longer than it says, so that it sees the answer to a request that was given up. */
const TIMEOUT_MS = 4_000;
const PAUSE_MS = 25;
const CONNECT_TIMEOUT_MS = 1_000;

const paths = { stream: "/s/x", lookup: "/l/x", change: "/c/x" } as const;
const kinds: readonly RequestKind[] = ["stream", "stream", "lookup", "change"];

export class SoakCallers {
    readonly outcomes: CallerOutcome[] = [];
    readonly ids = new Set<string>();
    private readonly clients = new Map<string, Client>();
    private serial = 0;
    private running = true;
    private tasks: Promise<void>[] = [];

    /** `ports`: where callers reach each router. */
    constructor(private readonly ports: readonly number[], private readonly random: () => number) {}

    start(count: number): void {
        this.running = true;
        this.tasks = Array.from({ length: count }, (_, i) => this.runCaller(`caller-${i}`, i % 2 === 0));
    }

    /** Resolves when every request has ended. */
    async stop(): Promise<void> {
        this.running = false;
        await Promise.all(this.tasks);
    }

    async close(): Promise<void> {
        await Promise.all([...this.clients.values()].map(client => client.destroy()));
    }

    /** Sends one request over the connection that `caller` has to a router; closes it afterwards unless it is kept. */
    async send(
        caller: string,
        router: number,
        kind: RequestKind,
        path: string = paths[kind],
        keepsConnection = true,
    ): Promise<CallerOutcome> {
        const outcome = await this.sendUnjudged(caller, router, kind, path, keepsConnection);
        this.outcomes.push(outcome);
        return outcome;
    }

    /** Asks a router for a path that it may not know yet; answers the status. */
    async probe(router: number, path: string): Promise<number | undefined> {
        const { status } = await this.sendUnjudged("probe", router, "lookup", path);
        return status;
    }

    private async sendUnjudged(
        caller: string,
        router: number,
        kind: RequestKind,
        path: string,
        keepsConnection = true,
    ): Promise<CallerOutcome> {
        this.serial += 1;
        // A running number, with digits before it that spread over streams of all lengths.
        const spread = this.serial * 0x9e3779b1 >>> 0;
        const id = [spread, this.serial].map(part => part.toString(16).padStart(8, "0")).join("");
        this.ids.add(id);
        const account = SoakAccounts[this.serial % SoakAccounts.length]!;
        return this.exchange(caller, router, id, kind, {
            method: "POST",
            path,
            reset: !keepsConnection,
            headers: {
                "host": "api.example",
                "attempt-id": id,
                "credential": account.key,
                "deadline-ms": String(DEADLINE_MS),
                ...kind === "stream" && { "token-usage": `${PROMPT_TOKENS},${OUTPUT_TOKENS}` },
            },
            body: "{}",
        });
    }

    /** `keepsConnections`: whether it opens a connection once for each router, or for each request. */
    private async runCaller(name: string, keepsConnections: boolean): Promise<void> {
        while (this.running) {
            const router = Math.floor(this.random() * this.ports.length);
            const kind = kinds[Math.floor(this.random() * kinds.length)]!;
            await this.send(name, router, kind, paths[kind], keepsConnections);
            await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
        }
    }

    private async exchange(
        caller: string,
        router: number,
        id: string,
        kind: RequestKind,
        options: Dispatcher.RequestOptions,
    ): Promise<CallerOutcome> {
        try {
            const answer = await this.getClient(caller, router).request(options);
            const signature = answer.headers["instance-signature"] as string | undefined;
            return { id, kind, status: answer.statusCode, signature, body: await answer.body.text() };
        }
        catch {
            return { id, kind, status: undefined, signature: undefined, body: undefined };
        }
    }

    private getClient(caller: string, router: number): Client {
        const key = `${caller}/${router}`;
        let client = this.clients.get(key);
        if (client === undefined || client.destroyed) {
            client = new Client(`http://127.0.0.1:${this.ports[router]}`, {
                connect: { timeout: CONNECT_TIMEOUT_MS },
                headersTimeout: TIMEOUT_MS,
                bodyTimeout: TIMEOUT_MS,
            });
            this.clients.set(key, client);
        }
        return client;
    }
}

/** What callers saw that must never be, with what the upstreams saw beside it. */
export function findCallerFaults(callers: SoakCallers, book: RunBook): string[] {
    return [
        ...book.runs.filter(run => !callers.ids.has(run.id)).map(run => `${run.id} ran and was never asked for`),
        ...callers.outcomes.flatMap(outcome => findOutcomeFaults(outcome, book)),
        ...SoakAccounts.filter(account => (book.tokens.get(account.name) ?? 0) > account.prepaid)
            .map(account => `${account.name} was handed ${book.tokens.get(account.name)} of ${account.prepaid} tokens`),
    ];
}

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Statuses for requests that the configuration does not allow. */
const NOT_ALLOWED = new Set([401, 403, 404]);

function findOutcomeFaults({ id, kind, status, signature, body }: CallerOutcome, book: RunBook): string[] {
    const runs = book.countRuns(id);
    const faults: string[] = [];
    if (kind === "change" && runs > 1) {
        faults.push(`${id} ran ${runs} times and may run once`);
    }
    if (status !== undefined && NOT_RUN.has(status) && runs > 0) {
        faults.push(`${id} was refused as not run with ${status} and ran ${runs} times`);
    }
    if (status !== undefined && NOT_ALLOWED.has(status)) {
        faults.push(`${id} was refused with ${status}`);
    }
    if (status === 200 && (signature === undefined || !isWhole(id, kind, body!, book))) {
        faults.push(`${id} was answered with ${JSON.stringify(body)} signed ${signature}`);
    }
    return faults;
}

function isWhole(id: string, kind: RequestKind, body: string, book: RunBook): boolean {
    return kind === "stream" ? body === formatWholeStream(id) : book.answers.get(id)?.has(body) === true;
}

function formatWholeStream(id: string): string {
    return Array.from({ length: computeEventCount(id) }, (_, i) => formatEvent(id, i + 1)).join("");
}
