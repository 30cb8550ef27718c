/**
 * Guards against routers that were removed for good and still count: limits that all routers share would be divided among them,
 * to the end. Separate processes.
 */
import t, { type Test } from "tap";
import { ProcessFleet } from "../tools/processFleet.js";
import { TokenCallers } from "../tools/tokenCallers.js";
import { TOKEN_ENGINE_PORT, TokenEngine, TOKENS_PER_EVENT } from "../tools/tokenEngine.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 225;
const ROUTERS = 4;
const MAX_CONNECTIONS = 40;
/** A router that does not report for this long is not cut off from the controllers but gone. */
const GONE_MS = 10_000;
/** Time in which lists of routers and the number of those that report arrive at routers. */
const SETTLE_MS = 3_000;
const ACCOUNT = "acme";
const REQUESTS_PER_ROUTER = 15;
const LONG_REQUEST: readonly [number, number] = [10, 100 * TOKENS_PER_EVENT];
const SHORT_REQUEST: readonly [number, number] = [10, TOKENS_PER_EVENT];
const SAMPLE_MS = 20;

class RouterPlay {
    readonly fleet = new ProcessFleet({
        network: NETWORK,
        controllers: 3,
        routers: ROUTERS,
        retryRatio: 0.2,
        retrySlack: 50,
        toleratedLosses: 1,
    });
    private readonly callers = new TokenCallers(this.fleet);
    private engine = this.createEngine("e1");

    async start(): Promise<void> {
        const wire = createWireBundle(1);
        await this.fleet.start({
            ...wire,
            backends: wire.backends.map(backend => ({ ...backend, max_conns: MAX_CONNECTIONS })),
            tenants: [{ name: ACCOUNT, api_keys: [`key-${ACCOUNT}`], prio: 1, prepaid: 10_000_000 }],
        });
        await this.startEngine();
    }

    async close(): Promise<void> {
        this.engine.stop();
        await this.fleet.close();
    }

    /** Starts another engine in place of the one that there is: routers open connections to it by what they know now. */
    async replaceEngine(): Promise<void> {
        this.engine.stop();
        this.engine = this.createEngine("e2");
        await this.startEngine();
    }

    /** Returns the most requests that run at the engine at the same time. */
    async measureConcurrency(): Promise<number> {
        const sent = this.fleet.listRouters().flatMap(router =>
            Array.from({ length: REQUESTS_PER_ROUTER }, () => this.callers.send(ACCOUNT, router, LONG_REQUEST))
        );
        let isDone = false;
        const done = Promise.all(sent).finally(() => isDone = true);
        let most = 0;
        while (!isDone) {
            most = Math.max(most, this.engine.countRunning());
            await wait(SAMPLE_MS);
        }
        await done;
        return most;
    }

    private createEngine(id: string): TokenEngine {
        return new TokenEngine(this.fleet, `${this.fleet.getIp(id)}:${TOKEN_ENGINE_PORT}`, "engines", id);
    }

    private async startEngine(): Promise<void> {
        const id = this.engine.id;
        await this.engine.start(this.fleet.getIp(id));
        for (const router of this.fleet.listRouters()) {
            await waitUntil(`${router} to serve`, async () => {
                return await this.callers.send(ACCOUNT, router, SHORT_REQUEST) === 200;
            });
        }
    }
}

async function playRemovals(t: Test, signal: NodeJS.Signals): Promise<void> {
    const play = new RouterPlay();
    t.teardown(() => play.close());
    await play.start();
    const before = await play.measureConcurrency();
    for (const box of play.fleet.listRouters()) {
        await play.fleet.removeRouter(box, signal);
        const successor = play.fleet.addRouter();
        await waitUntil(`${successor} to be ready`, () => play.fleet.isReady(successor));
    }
    await wait(GONE_MS + SETTLE_MS);
    await play.replaceEngine();
    const after = await play.measureConcurrency();
    t.ok(
        before > 0 && after >= before,
        `${after} requests at the same time, ${before} before the routers were replaced`,
    );
}

void t.test("as many requests run at an engine after all routers were killed and replaced as before", t =>
    playRemovals(t, "SIGKILL"));
