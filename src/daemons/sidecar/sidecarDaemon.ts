/** The sidecar: runs every request to the upstreams of its box. */
import type { UsageRecord } from "../../domain/billStore.js";
import type { ConfigView, Upstream } from "../../domain/configView.js";
import { getOwnerPrefix } from "../../domain/identifiers.js";
import { RequestIndex } from "../../domain/requestIndex.js";
import { createRefusal, type Refusal, RefusalError } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { Peer, PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import type { UpstreamClient } from "../../ports/upstream.js";
import {
    attachRunMethod,
    cancelRunMethod,
    claimMethod,
    type CloseGrantAnswer,
    closeGrantMethod,
    holdWitnessMethod,
    listWitnessMethod,
    orderMethod,
    placeMethod,
    runAckMethod,
    type StartRunAnswer,
    startRunMethod,
    type StartRunParams,
    unclaimMethod,
} from "../../protocol/runMethods.js";
import type { ConfigClient } from "../configClient.js";
import type { ControllerAddress } from "../controllerAddress.js";
import { RepeatingTask } from "../repeatingTask.js";
import { UsageOutbox } from "../usageOutbox.js";
import { OrderFence } from "./orderFence.js";
import { Run } from "./run.js";
import { RunTable } from "./runTable.js";
import { UpstreamRunner } from "./upstreamRunner.js";
import { WitnessStore } from "./witnessStore.js";

const FLUSH_PERIOD_MS = 20;
const EVICTION_PERIOD_MS = 1_000;
const DRAIN_POLL_INTERVAL_MS = 50;
/** Large enough that no router still uses a grant by the time it is evicted. */
const MAX_CLOSED_GRANTS = 100_000;
const DRAINING_RETRY_MS = 200;

/** Options from the settings. Durations are in milliseconds. */
export interface SidecarOptions {
    readonly box: string;
    readonly incarnation: string;
    readonly controllers: readonly ControllerAddress[];
    readonly keepAnswersMs: number;
    readonly indexKeepMs: number;
    /** Maximum time that a planned stop waits for runs to end. */
    readonly drainMs: number;
    readonly createClient: (upstream: Upstream) => UpstreamClient;
}

export class SidecarDaemon {
    private readonly runners = new Map<string, { runner: UpstreamRunner; url: string; }>();
    private readonly table: RunTable;
    private readonly index: RequestIndex;
    private readonly outbox: UsageOutbox;
    private readonly witnesses = new WitnessStore();
    private readonly orderFence: OrderFence;
    private readonly watchedPeers = new WeakSet<Peer>();
    private readonly closedGrants = new Set<string>();
    private readonly tasks: RepeatingTask[];
    private readonly view: ConfigView;
    private boxLeaving = false;
    private stopping = false;

    constructor(
        private readonly config: ConfigClient,
        network: PeerNetwork,
        handlers: PeerHandlers,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: SidecarOptions,
    ) {
        this.view = config.view;
        this.table = new RunTable(options.keepAnswersMs);
        this.index = new RequestIndex(options.indexKeepMs);
        this.outbox = new UsageOutbox(options.controllers, network);
        this.orderFence = new OrderFence(this.view);
        this.tasks = [
            new RepeatingTask("usage", clock, log, FLUSH_PERIOD_MS, () => this.outbox.flush()),
            new RepeatingTask("clean", clock, log, EVICTION_PERIOD_MS, async () => this.evictExpired()),
        ];
        this.addHandlers(handlers);
        config.onChange(() => this.applyConfig());
        config.onMembership(membership => {
            this.boxLeaving = [...membership.leaving, ...membership.gone].includes(options.box);
            this.applyConfig();
        });
    }

    start(): void {
        this.tasks.forEach(task => task.start());
    }

    /** Stops as planned: rejects new runs, and waits for active runs to end and usage records to be delivered. */
    async stop(): Promise<void> {
        this.stopping = true;
        this.applyConfig();
        const deadline = this.clock.getMonotonicMs() + this.options.drainMs;
        while (!this.isDrained() && this.clock.getMonotonicMs() < deadline) {
            await this.clock.wait(DRAIN_POLL_INTERVAL_MS);
        }
        this.log.info("sidecar_drained", {
            runs_left: this.table.getActive().length,
            records_left: this.outbox.getSize(),
        });
        await Promise.all(this.tasks.map(task => task.stop()));
    }

    getFigures(): Record<string, number> {
        let running = 0;
        let queued = 0;
        for (const { runner } of this.runners.values()) {
            const load = runner.getLoad();
            running += load.running;
            queued += load.queued;
        }
        return { running, queued, kept_runs: this.table.getSize(), usage_waiting: this.outbox.getSize() };
    }

    private isDrained(): boolean {
        const routersHaveAll = this.table.getActive().length === 0;
        return routersHaveAll && this.outbox.getSize() === 0;
    }

    private addHandlers(handlers: PeerHandlers): void {
        handlers.add(startRunMethod, (params, peer) => this.startRun(params, peer));
        handlers.add(attachRunMethod, (params, peer) => this.attachRun(params, peer));
        handlers.add(runAckMethod, (params, peer) => {
            this.table.tryGetRun(params.runId)?.recordAck(peer, params.listener, params.position);
        });
        handlers.add(cancelRunMethod, params => {
            this.table.tryGetRun(params.runId)?.cancel();
        });
        handlers.add(closeGrantMethod, params => this.closeGrants(params.grants));
        handlers.add(claimMethod, (params, peer) => {
            this.releaseClaimsOnClose(peer);
            return this.index.claim(params.requestId, params.digest, params.owner, this.clock.getMonotonicMs());
        });
        handlers.add(placeMethod, params => {
            this.index.recordDispatch(
                params.requestId,
                params.digest,
                params.owner,
                params.sidecar,
                this.clock.getMonotonicMs(),
            );
        });
        handlers.add(unclaimMethod, params => {
            this.index.releaseClaim(params.requestId, params.owner);
        });
        handlers.add(holdWitnessMethod, params => {
            this.witnesses.add(params);
        });
        handlers.add(listWitnessMethod, params => ({ topUps: this.witnesses.listByController(params.controller) }));
        handlers.add(orderMethod, async order => {
            this.orderFence.check(order);
            await this.getRunner(order.upstream).client.sendOrder(order);
            this.log.info("order_given", { upstream: order.upstream, model: order.model, term: order.term });
        });
    }

    /** Releases a router's undispatched claims when its connection closes. */
    private releaseClaimsOnClose(peer: Peer): void {
        if (!this.watchedPeers.has(peer)) {
            this.watchedPeers.add(peer);
            peer.onClose(() => this.index.releaseUndispatchedClaims(getOwnerPrefix(peer.identity)));
        }
    }

    private startRun(params: StartRunParams, peer: Peer): StartRunAnswer {
        const runner = this.getRunner(params.upstream);
        if (this.closedGrants.has(params.grant)) {
            throw new RefusalError(createRefusal("grantClosed", params.grant));
        }
        if (this.outbox.isFull()) {
            throw new RefusalError(
                createRefusal("queueFull", "too many usage records are not yet delivered to their ledgers", "no", 1000),
            );
        }
        this.checkNotRunning(params);
        runner.checkAdmission(params);
        const run = new Run(params, this.clock.getMonotonicMs());
        this.table.add(run);
        run.addListener(peer, params.listener, params.request.type === "chat" ? params.request.resumeFrom : 0);
        void runner.execute(run);
        return { load: runner.getLoad(params) };
    }

    /** Rejects a request id that is reused with another digest, or whose run is still active. */
    private checkNotRunning(params: StartRunParams): void {
        const known = this.table.tryGetLatestRun(params.requestId);
        if (known === undefined) {
            return;
        }
        if (known.params.digest !== params.digest) {
            throw new RefusalError(createRefusal("requestIdReused"));
        }
        if (!known.isEnded()) {
            throw new RefusalError(
                createRefusal("outcomeUnknown", "the request is still running on this sidecar", "unknown", 200),
            );
        }
    }

    private attachRun(
        params: { requestId: string; listener: string; digest: string; from: number; },
        peer: Peer,
    ): { runId: string; } {
        const run = this.table.tryGetLatestRun(params.requestId);
        if (run === undefined || !run.isRetainedFrom(params.from)) {
            throw new RefusalError(createRefusal("answerNotKept", undefined, run === undefined ? "unknown" : "yes"));
        }
        if (run.params.digest !== params.digest) {
            throw new RefusalError(createRefusal("requestIdReused"));
        }
        setImmediate(() => run.addListener(peer, params.listener, params.from));
        return { runId: run.params.runId };
    }

    private closeGrants(grants: readonly string[]): CloseGrantAnswer {
        const asked = new Set(grants);
        for (const grant of grants) {
            this.closedGrants.add(grant);
        }
        while (this.closedGrants.size > MAX_CLOSED_GRANTS) {
            this.closedGrants.delete(this.closedGrants.values().next().value!);
        }
        const active = this.table.getActive().map(run => run.params.grant).filter(grant => asked.has(grant));
        const records: UsageRecord[] = this.outbox.getForGrants(asked);
        return { box: this.options.box, incarnation: this.options.incarnation, active, records };
    }

    private getRunner(upstream: string): UpstreamRunner {
        const entry = this.runners.get(upstream);
        if (entry === undefined) {
            throw new RefusalError(createRefusal("upstreamUnknown", upstream, "no", DRAINING_RETRY_MS));
        }
        return entry.runner;
    }

    /** Reconciles the runners with the configuration, the platform's list of boxes, and a planned stop. */
    private applyConfig(): void {
        const wanted = this.view.getAllUpstreams().filter(upstream => upstream.box === this.options.box);
        for (const upstream of wanted) {
            const runner = this.getOrCreateRunner(upstream);
            runner.setUpstream(upstream, this.view.getRankRules(upstream.service));
            const refusal = this.tryGetClosingRefusal(upstream);
            if (refusal === undefined) {
                runner.open();
            }
            else {
                runner.close(refusal);
            }
        }
        const names = new Set(wanted.map(upstream => upstream.name));
        for (const [name, { runner }] of this.runners) {
            if (!names.has(name)) {
                runner.close(createRefusal("upstreamUnknown", name, "no", DRAINING_RETRY_MS));
            }
        }
    }

    private tryGetClosingRefusal(upstream: Upstream): Refusal | undefined {
        if (this.stopping || this.boxLeaving || upstream.leaving) {
            return createRefusal("draining", upstream.name, "no", DRAINING_RETRY_MS);
        }
        return undefined;
    }

    private getOrCreateRunner(upstream: Upstream): UpstreamRunner {
        const known = this.runners.get(upstream.name);
        if (known?.url === upstream.url) {
            return known.runner;
        }
        const client = this.options.createClient(upstream);
        const runner = new UpstreamRunner(upstream, client, this.clock, this.log, this.metrics, record => {
            this.outbox.add(record);
            this.tasks[0]!.runNow();
        });
        this.runners.set(upstream.name, { runner, url: upstream.url });
        return runner;
    }

    private evictExpired(): void {
        this.table.evictEnded(this.clock.getMonotonicMs());
        this.metrics.setGauge("sidecar.usage_waiting", this.outbox.getSize());
        this.metrics.setGauge("sidecar.kept_runs", this.table.getSize());
    }
}
