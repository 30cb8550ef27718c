/**
 * `npm run bench:origins`: what it costs to keep streams at one software version while a service has several, at 30, 100 and
 * 300 routers with five controllers. Runs the routers' and the controllers' parts in one process over a network that encodes
 * and checks each message as the real one does and counts it.
 */
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { StreamOriginService } from "../src/daemons/bundleController/streamOriginService.js";
import { ServiceVersionReader } from "../src/daemons/directRouter/serviceVersionReader.js";
import { createOrigin, StreamOriginReporter } from "../src/daemons/directRouter/streamOriginReporter.js";
import { StreamResumer } from "../src/daemons/directRouter/streamResumer.js";
import { computeStreamKey, StreamOrigins } from "../src/domain/streamOrigins.js";
import { SystemClock } from "../src/ports/clock.js";
import { NoLog } from "../src/ports/log.js";
import { NoMetrics } from "../src/ports/metrics.js";
import { type Peer, PeerHandlers, type PeerMethod, PeerNetwork } from "../src/ports/peer.js";
import { findOriginMethod, originNoticeMethod } from "../src/protocol/streamMethods.js";
import { RecordingPeer } from "../test/tools/recordingPeer.js";
import { createStreamRequest, createVersionedUpstream, STREAM_ORIGINS } from "../test/tools/streamRequests.js";
import { wait } from "../test/tools/waiting.js";

const ROUTER_COUNTS = [30, 100, 300];
const CONTROLLERS = ["c1", "c2", "c3", "c4", "c5"];
/** Streams that a router begins per second: 444 per second at 31 routers, the largest deployment in use. */
const STREAMS_PER_SECOND = 14;
const RUN_MS = 5_000;
/** Of the streams, this part is resumed at another router. */
const RESUMED_FRACTION = 0.02;
const BATCH_DELAY_MS = 10;
const RETENTION_S = 20;
const MEMORY_STREAMS = 100_000;

if (globalThis.gc === undefined) {
    const child = spawnSync(process.execPath, ["--expose-gc", fileURLToPath(import.meta.url)], { stdio: "inherit" });
    process.exit(child.status ?? 1);
}

/** Messages and bytes to the controllers, and the time that these need to decode and handle them. */
class Costs {
    notices = 0;
    calls = 0;
    bytes = 0;
    handledMs = 0;
}

class CountingNetwork extends PeerNetwork {
    constructor(private readonly handlers: ReadonlyMap<string, PeerHandlers>, private readonly costs: Costs) {
        super();
    }

    override connect(address: string): Promise<Peer> {
        return Promise.resolve(
            new CountingPeer((method, params) => {
                this.costs.notices += 1;
                void this.handle(address, method, params);
            }),
        );
    }

    override async call<P, R>(address: string, method: PeerMethod<P, R>, params: P): Promise<R> {
        this.costs.calls += 1;
        return await this.handle(address, method.name, params) as R;
    }

    private async handle(address: string, method: string, params: unknown): Promise<unknown> {
        const text = JSON.stringify({ jsonrpc: "2.0", method, params });
        this.costs.bytes += text.length;
        const startedAt = performance.now();
        const { params: decoded } = JSON.parse(text) as { params: unknown; };
        const result = await this.handlers.get(address)!.handle(method, decoded, new RecordingPeer());
        this.costs.handledMs += performance.now() - startedAt;
        return result;
    }
}

class CountingPeer extends RecordingPeer {
    constructor(private readonly onNotice: (method: string, params: unknown) => void) {
        super();
    }

    override notify<P>({ name }: PeerMethod<P, void>, params: P): void {
        this.onNotice(name, params);
    }
}

async function measure(routerCount: number): Promise<void> {
    const clock = new SystemClock();
    const log = new NoLog();
    const costs = new Costs();
    const handlersByController = new Map(CONTROLLERS.map(address => {
        const service = new StreamOriginService(clock, log);
        const handlers = new PeerHandlers();
        handlers.add(originNoticeMethod, ({ streams }) => service.recordReports(streams));
        handlers.add(findOriginMethod, ({ key }) => ({ origin: service.tryFind(key) }));
        return [address, handlers];
    }));
    const network = new CountingNetwork(handlersByController, costs);
    const isMixed = (): boolean => true;
    const routers = Array.from({ length: routerCount }, (_, i) => {
        const options = { ...STREAM_ORIGINS, batchDelayMs: BATCH_DELAY_MS, maxStreams: 50_000 };
        const reporter = new StreamOriginReporter(
            `r${i}:1`,
            isMixed,
            network,
            clock,
            log,
            new NoMetrics(),
            options,
        );
        reporter.setControllers(CONTROLLERS);
        const reader = new ServiceVersionReader(network, () => CONTROLLERS);
        const resumer = new StreamResumer(
            reporter,
            reader,
            isMixed,
            () => CONTROLLERS,
            network,
            clock,
            log,
            new NoMetrics(),
            { lookupTimeoutMs: options.lookupTimeoutMs, retryAfterMs: 300, getEventLoopLagMs: () => 0 },
        );
        return { reporter, resumer };
    });
    const upstream = createVersionedUpstream("u1", "v1");
    let begun = 0;
    let resumed = 0;
    let goneOn = 0;
    const startedAt = performance.now();
    while (performance.now() - startedAt < RUN_MS) {
        const due = (performance.now() - startedAt) / 1_000 * STREAMS_PER_SECOND * routerCount;
        for (; begun < due; begun++) {
            const { reporter } = routers[begun % routerCount]!;
            reporter.recordBegun(createStreamRequest(`a${begun}`), createOrigin(upstream), upstream);
        }
        for (; resumed < begun * RESUMED_FRACTION - 2 * routerCount * RESUMED_FRACTION; resumed++) {
            const { resumer } = routers[(resumed + 1) % routerCount]!;
            const early = Math.floor(resumed / RESUMED_FRACTION / 2);
            const outcome = resumer.resolve(createStreamRequest(`b${resumed}`, { resumedAttempt: `a${early}` }));
            void outcome.then(result => goneOn += "code" in result ? 0 : 1);
        }
        await wait(1);
    }
    await wait(2 * BATCH_DELAY_MS);
    const seconds = RUN_MS / 1_000;
    const perController = seconds * CONTROLLERS.length;
    console.log(
        `routers=${routerCount} streams_per_s=${Math.round(begun / seconds)} resumed=${resumed} gone_on=${goneOn}`
            + ` notices_per_router_s=${(costs.notices / seconds / routerCount).toFixed(1)}`
            + ` notices_per_controller_s=${Math.round(costs.notices / perController)}`
            + ` calls_per_controller_s=${(costs.calls / perController).toFixed(1)}`
            + ` bytes_per_controller_s=${Math.round(costs.bytes / perController)}`
            + ` controller_cores=${(costs.handledMs / 1_000 / perController).toFixed(4)}`
            + ` held_per_controller=${
                Math.round(begun / seconds * RETENTION_S * STREAM_ORIGINS.copies / CONTROLLERS.length)
            }`,
    );
}

function measureMemory(): void {
    globalThis.gc!();
    const before = process.memoryUsage().heapUsed;
    const origins = new StreamOrigins(MEMORY_STREAMS);
    for (let i = 0; i < MEMORY_STREAMS; i++) {
        origins.record(computeStreamKey("acme", `a${i}`), { service: `s${i % 5}`, version: `v${i % 3}` }, 1, 0, "u");
    }
    globalThis.gc!();
    const bytes = (process.memoryUsage().heapUsed - before) / origins.getSize();
    console.log(`memory_per_stream=${Math.round(bytes)} bytes`);
}

measureMemory();
for (const routerCount of ROUTER_COUNTS) {
    await measure(routerCount);
}
process.exit(0);
