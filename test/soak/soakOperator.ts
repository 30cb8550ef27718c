/** The operator of the soak: changes the configuration again and again, and reads it back anywhere. */
import { request } from "undici";
import { createWireBundle } from "../tools/wireBundle.js";
import { LEAVING_ACCOUNT, SoakAccounts } from "./soakCallers.js";
import { LARGE_LOOKUP_PATH, QUIET_STREAM_PATH } from "./soakEngine.js";

const PAUSE_MS = 200;
const TIMEOUT_MS = 3_000;
/** Timeout of routes whose answers take longer than a planned stop. */
const SLOW_TIMEOUT_MS = 12_000;

type Route = ReturnType<typeof createWireBundle>["routes"][number];

export class SoakOperator {
    readonly faults: string[] = [];
    /** The newest revision that was acknowledged. */
    acknowledged = 0;
    private revision = 0;
    private running = true;
    private tasks: Promise<void>[] = [];

    /** `controllers`: addresses of the operators' interface. */
    constructor(private readonly controllers: readonly string[], private readonly random: () => number) {}

    start(): void {
        this.tasks = [this.runChanging(), this.runReading()];
    }

    async stop(): Promise<void> {
        this.running = false;
        await Promise.all(this.tasks);
    }

    /** Sends the next revision until a controller has acknowledged it; returns false if none has in time. */
    async putNext(timeoutMs = Infinity): Promise<boolean> {
        this.revision += 1;
        const { revision } = this;
        const until = performance.now() + timeoutMs;
        while (!await this.put(revision)) {
            if (performance.now() >= until) {
                return false;
            }
            await wait();
        }
        return true;
    }

    /** Asks all controllers at once. Returns the first revision that one answers. */
    async tryReadFirst(): Promise<number | undefined> {
        const readings = this.controllers.map(async controller => {
            const revision = await this.tryReadRevision(controller);
            return revision ?? Promise.reject(new Error(`${controller} does not answer`));
        });
        return Promise.any(readings).catch(() => undefined);
    }

    /** A path that is routed only by the newest acknowledged revision. */
    getProbePath(): string {
        return formatProbePath(this.acknowledged);
    }

    private async runChanging(): Promise<void> {
        while (this.running) {
            this.revision += 1;
            await this.put(this.revision);
            await wait();
        }
    }

    private async runReading(): Promise<void> {
        while (this.running) {
            await this.tryReadRevision(this.chooseController());
            await wait();
        }
    }

    private async tryReadRevision(controller: string): Promise<number | undefined> {
        const least = this.acknowledged;
        const read = await this.tryCall(controller, "GET");
        if (read?.status !== 200) {
            return undefined;
        }
        const { config_rev: revision } = JSON.parse(read.text) as { config_rev: number; };
        if (revision < least) {
            this.faults.push(`revision ${revision} was read after ${least} was acknowledged`);
        }
        return revision;
    }

    private chooseController(): string {
        return this.controllers[Math.floor(this.random() * this.controllers.length)]!;
    }

    private async put(revision: number): Promise<boolean> {
        const answer = await this.tryCall(this.chooseController(), "PUT", JSON.stringify(createSoakBundle(revision)));
        if (answer?.status === 200) {
            this.acknowledged = Math.max(this.acknowledged, revision);
        }
        else if (answer !== undefined && answer.status < 500) {
            this.faults.push(`revision ${revision} was refused with ${answer.status} ${answer.text}`);
        }
        return answer?.status === 200;
    }

    private async tryCall(
        controller: string,
        method: "GET" | "PUT",
        body?: string,
    ): Promise<{ status: number; text: string; } | undefined> {
        try {
            const signal = AbortSignal.timeout(TIMEOUT_MS);
            const answer = await request(`http://${controller}/loomwinch/config`, {
                method,
                signal,
                ...body && { body },
            });
            return { status: answer.statusCode, text: await answer.body.text() };
        }
        catch {
            return undefined;
        }
    }
}

function wait(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, PAUSE_MS));
}

function formatProbePath(revision: number): string {
    return `/revision-${revision}/`;
}

function createSoakBundle(revision: number) {
    const bundle = createWireBundle(revision);
    const [stream, lookup] = bundle.routes as [Route, Route];
    const slow = { timeout_ms: SLOW_TIMEOUT_MS };
    return {
        ...bundle,
        routes: [
            ...bundle.routes,
            { ...stream, ...slow, name: "quiet", path_prefix: QUIET_STREAM_PATH },
            { ...lookup, ...slow, name: "large", path_prefix: LARGE_LOOKUP_PATH },
            { ...lookup, name: `revision-${revision}`, path_prefix: formatProbePath(revision) },
        ],
        // Requests to the plain service wait for connections while its upstreams are slow.
        backends: bundle.backends.map(service => service.name === "plain" ? service : { ...service, max_conns: 400 }),
        tenants: [...SoakAccounts, LEAVING_ACCOUNT].map(({ name, key, prepaid }) => ({
            name,
            api_keys: [key],
            prio: 1,
            prepaid,
        })),
    };
}
