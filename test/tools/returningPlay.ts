/**
 * A play in which all processes are lost at the same moment and return: separate processes with little CPU time, client accounts with
 * prepaid tokens, streams and lookups at a fixed rate, and callers that retry once.
 */
import { Agent, request } from "undici";
import { CpuLimiter } from "./cpuLimiter.js";
import { ProcessFleet } from "./processFleet.js";
import { createTokenBundle } from "./tokenCallers.js";
import { TOKEN_ENGINE_PORT, TokenEngine, TOKENS_PER_EVENT } from "./tokenEngine.js";
import { wait, waitUntil } from "./waiting.js";
import { createLargeWireBundle } from "./wireBundle.js";

const DEFAULT_ROUTERS = 6;
const CONTROLLERS = 5;
const ROUTER_CORES = 0.51;
const CONTROLLER_CORES = 1.6;
const MODEL_ENGINES = 4;
const ENGINES = 5;
const ACCOUNTS = 10;
/** The accounts that most requests are for. */
const LARGE_ACCOUNTS = 2;
const LARGE_FRACTION = 0.6;
const PROMPT_TOKENS = 7_000;
const MAX_EVENTS = 100;
const LOOKUP_FRACTION = 0.1;
const DEADLINE_MS = 8_000;
const GOAL_MS = 1_500;
const RETRY_PAUSE_MS = 100;
/** Spares the event loop of the test while hundreds of callers find no connection. */
const NO_CONNECTION_PAUSE_MS = 100;
const EXTRA_ROUTES = 10;
/** Time after the return within which service comes back. */
export const RETURN_MS = 12_000;
/** Part of the requests that is served from then on. */
export const MIN_SERVED_FRACTION = 0.25;
/** Outcome of a request that got no whole answer. */
const NO_ANSWER = "none";

interface PlayRequest {
    readonly kind: "stream" | "lookup";
    /** Monotonic clock, milliseconds. */
    readonly sentAt: number;
    /** Status of the last try. */
    outcome: string | undefined;
}

interface PlayCount {
    readonly sent: number;
    readonly served: number;
    readonly outcomes: Readonly<Record<string, number>>;
}

interface ReturningPlayOptions {
    readonly network: number;
    readonly requestsPerS: number;
    /** Prepaid tokens of each set of accounts, all together. Requests are for one set at a time. */
    readonly prepaid: readonly number[];
    readonly routers?: number;
    readonly hasCuttableLinks?: boolean;
    /** CPU time of a box; that of the deployment if undefined. */
    readonly routerCores?: number;
    readonly controllerCores?: number;
}

export class ReturningPlay {
    readonly fleet: ProcessFleet;
    private readonly engines: readonly TokenEngine[];
    private readonly requests: PlayRequest[] = [];
    private readonly limiter = new CpuLimiter();
    private readonly agent = new Agent({ connect: { timeout: 2_000 } });
    private readonly running = new Set<Promise<unknown>>();
    private revision = 1;
    private lastId = 0;
    private accountSet = 0;
    private isLoaded = false;
    private isReturning = false;
    private load: Promise<void> = Promise.resolve();

    constructor(private readonly options: ReturningPlayOptions) {
        this.fleet = new ProcessFleet({
            network: options.network,
            controllers: CONTROLLERS,
            routers: options.routers ?? DEFAULT_ROUTERS,
            retryRatio: 0.2,
            retrySlack: 50,
            cpu: {
                limiter: this.limiter,
                routerCores: options.routerCores ?? ROUTER_CORES,
                controllerCores: options.controllerCores ?? CONTROLLER_CORES,
            },
            toleratedLosses: 2,
            hasCuttableLinks: options.hasCuttableLinks ?? false,
        });
        this.engines = Array.from({ length: ENGINES }, (_, i) => {
            const id = `e${i + 1}`;
            const address = `${this.fleet.getIp(id)}:${TOKEN_ENGINE_PORT}`;
            return new TokenEngine(this.fleet, address, i < MODEL_ENGINES ? "engines" : "plain", id);
        });
    }

    /** Resolves when each router serves streams and lookups. */
    async start(): Promise<void> {
        await this.fleet.start(this.createBundle(EXTRA_ROUTES));
        await Promise.all(this.engines.map((engine, i) => engine.start(this.fleet.getIp(`e${i + 1}`))));
        for (const router of this.fleet.listRouters()) {
            for (const kind of ["stream", "lookup"] as const) {
                await waitUntil(`${router} to serve`, async () => await this.send(router, kind) === "200");
            }
        }
    }

    async close(): Promise<void> {
        this.stopReturningCallers();
        await this.stopLoad();
        this.engines.forEach(engine => engine.stop());
        await this.agent.destroy();
        await this.fleet.close();
        await this.limiter.stop();
    }

    /** Puts a configuration; resolves to its revision when it is acknowledged. */
    async putNextBundle(extraRoutes = EXTRA_ROUTES): Promise<number> {
        this.revision += 1;
        await waitUntil("the configuration", () => this.fleet.putBundle(this.createBundle(extraRoutes)));
        return this.revision;
    }

    /** Lets engines report to the controllers that there are now. */
    updateControllers(): void {
        const urls = this.fleet.listControllers().map(box => this.fleet.getControlUrl(box));
        this.engines.forEach(engine => engine.setControllers(urls));
    }

    /** Sends requests until `stopLoad`, whether or not earlier ones were answered. */
    startLoad(): void {
        this.isLoaded = true;
        this.load = this.runLoad();
    }

    async stopLoad(): Promise<void> {
        this.isLoaded = false;
        await this.load;
        await Promise.all(this.running);
    }

    /** Counts requests sent in a period, whatever became of them. */
    count(from: number, to = Infinity): PlayCount {
        const outcomes: Record<string, number> = {};
        const sent = this.requests.filter(({ sentAt }) => sentAt >= from && sentAt < to);
        sent.forEach(({ kind, outcome = "open" }) => {
            const key = `${kind} ${outcome}`;
            outcomes[key] = (outcomes[key] ?? 0) + 1;
        });
        return { sent: sent.length, served: sent.filter(({ outcome }) => outcome === "200").length, outcomes };
    }

    /** Lets further requests be for another set of accounts, which nobody has used. */
    setAccountSet(accountSet: number): void {
        this.accountSet = accountSet;
    }

    /** Returns the tokens that engines were asked for and have generated, of a set of accounts. */
    countReceived(accountSet = this.accountSet): number {
        const tokens = this.listAccounts(accountSet).map(({ name }) =>
            this.engines.reduce((sum, engine) => sum + engine.getReceived(name), 0)
        );
        return tokens.reduce((sum, received) => sum + received, 0);
    }

    /** Returns whether an account of any set was given more than it has prepaid. */
    hasOverspent(): boolean {
        return this.options.prepaid.some((_, accountSet) =>
            this.listAccounts(accountSet).some(({ name, prepaid }) =>
                this.engines.reduce((sum, engine) => sum + engine.getReceived(name), 0) > prepaid
            )
        );
    }

    /** No controller hears of an engine until `resumeReports`. */
    pauseReports(): void {
        this.engines.forEach(engine => engine.isReporting = false);
    }

    /** Each engine reports to one controller alone. */
    resumeReports(): void {
        const controllers = this.fleet.listControllers();
        this.engines.forEach((engine, i) => {
            engine.setControllers([this.fleet.getControlUrl(controllers[i % controllers.length]!)]);
            engine.isReporting = true;
        });
    }

    /** Kills all processes and starts them again. Returns when they were started (monotonic clock, milliseconds). */
    async loseAll(downMs: number, lostDisks: readonly string[] = []): Promise<number> {
        await this.fleet.killAll(lostDisks);
        await wait(downMs);
        this.fleet.startAll();
        return performance.now();
    }

    /** Starts callers that send to one router each, on new connections, and send again at once when there is none. */
    startReturningCallers(callersPerRouter: number, pauseMs: number): void {
        this.isReturning = true;
        for (const router of this.fleet.listRouters()) {
            for (let caller = 0; caller < callersPerRouter; caller++) {
                void this.runReturningCaller(router, pauseMs);
            }
        }
    }

    stopReturningCallers(): void {
        this.isReturning = false;
    }

    /** Sends a request once; resolves with its status. */
    private async send(router: string, kind: PlayRequest["kind"], isNewConnection = false): Promise<string> {
        this.lastId += 1;
        const id = `a${this.lastId}`;
        const isStream = kind === "stream";
        const events = isStream ? 1 + Math.floor(Math.random() * MAX_EVENTS) : 1;
        const promptTokens = isStream ? PROMPT_TOKENS : 10;
        try {
            const answer = await request(`${this.fleet.getCallerUrl(router)}/${isStream ? "s" : "l"}/x`, {
                method: "POST",
                dispatcher: this.agent,
                reset: isNewConnection,
                headers: {
                    "Host": "api.example",
                    "Attempt-Id": id,
                    "Credential": `key-${this.chooseAccount()}`,
                    "Deadline-Ms": String(DEADLINE_MS),
                    "Model": "m",
                    "Token-Usage": `${promptTokens},${events * TOKENS_PER_EVENT}`,
                    "Prefix-Hash": `${this.lastId.toString(16)}:${promptTokens}`,
                },
                body: "{}",
                signal: AbortSignal.timeout(DEADLINE_MS),
            });
            const body = await answer.body.text();
            const isWhole = answer.statusCode !== 200 || body.includes(`id: ${events}\n`);
            return isWhole ? String(answer.statusCode) : NO_ANSWER;
        }
        catch {
            return NO_ANSWER;
        }
    }

    private async runReturningCaller(router: string, pauseMs: number): Promise<void> {
        while (this.isReturning) {
            const entry: PlayRequest = { kind: "lookup", sentAt: performance.now(), outcome: undefined };
            this.requests.push(entry);
            entry.outcome = await this.runTracked(this.send(router, "lookup", true));
            await wait(entry.outcome === "200" ? pauseMs * 2 * Math.random() : NO_CONNECTION_PAUSE_MS);
        }
    }

    private async runLoad(): Promise<void> {
        const startedAt = performance.now();
        for (let sent = 0; this.isLoaded; sent++) {
            const delayMs = startedAt + sent * 1_000 / this.options.requestsPerS - performance.now();
            await wait(Math.max(0, delayMs));
            void this.runTracked(this.runRequest());
        }
    }

    private async runRequest(): Promise<void> {
        const kind = Math.random() < LOOKUP_FRACTION ? "lookup" : "stream";
        const entry: PlayRequest = { kind, sentAt: performance.now(), outcome: undefined };
        this.requests.push(entry);
        let outcome = await this.send(this.chooseRouter(), kind);
        if (outcome === "503" || outcome === NO_ANSWER) {
            await wait(RETRY_PAUSE_MS);
            outcome = await this.send(this.chooseRouter(), kind);
        }
        entry.outcome = outcome;
    }

    /** Lets `stopLoad` wait for a request. */
    private async runTracked<T>(run: Promise<T>): Promise<T> {
        this.running.add(run);
        const result = await run;
        this.running.delete(run);
        return result;
    }

    private chooseRouter(): string {
        const routers = this.fleet.listRouters();
        return routers[Math.floor(Math.random() * routers.length)]!;
    }

    private chooseAccount(): string {
        const isLarge = Math.random() < LARGE_FRACTION;
        const number = isLarge
            ? Math.floor(Math.random() * LARGE_ACCOUNTS)
            : LARGE_ACCOUNTS + Math.floor(Math.random() * (ACCOUNTS - LARGE_ACCOUNTS));
        return `account-${this.accountSet}-${number + 1}`;
    }

    private listAccounts(accountSet: number): { readonly name: string; readonly prepaid: number; }[] {
        return Array.from({ length: ACCOUNTS }, (_, i) => {
            const fraction = i < LARGE_ACCOUNTS
                ? LARGE_FRACTION / LARGE_ACCOUNTS
                : (1 - LARGE_FRACTION) / (ACCOUNTS - LARGE_ACCOUNTS);
            const prepaid = Math.round(this.options.prepaid[accountSet]! * fraction);
            return { name: `account-${accountSet}-${i + 1}`, prepaid };
        });
    }

    private createBundle(extraRoutes: number): object {
        const wire = createLargeWireBundle(this.revision, extraRoutes);
        const accounts = this.options.prepaid.flatMap((_, accountSet) => this.listAccounts(accountSet));
        const tenants = accounts.map(({ name, prepaid }) => ({ name, api_keys: [`key-${name}`], prio: 1, prepaid }));
        return createTokenBundle({
            ...wire,
            routes: wire.routes.map(route => ({ ...route, timeout_ms: DEADLINE_MS, goal_ms: GOAL_MS })),
            backends: wire.backends.map(backend =>
                backend.engine === undefined
                    ? backend
                    : { ...backend, engine: { ...backend.engine, kv_capacity: 500_000 } }
            ),
        }, tenants);
    }
}
