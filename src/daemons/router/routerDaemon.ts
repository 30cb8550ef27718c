/** Router daemon: accepts callers' requests and answers them. Stores nothing on disk. */
import { RefusalError } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers } from "../../ports/peer.js";
import type { ConfigClient } from "../configClient.js";
import { RepeatingTask } from "../repeatingTask.js";
import type { UsageOutbox } from "../usageOutbox.js";
import type { AnswerSink, Job } from "./job.js";
import { type JobFactory, tryGetReadinessRefusal } from "./jobFactory.js";
import type { LedgerClient } from "./ledgerClient.js";
import type { RequestRunner } from "./requestRunner.js";
import type { RunClient } from "./runClient.js";

const USAGE_FLUSH_PERIOD_MS = 50;
const GRANT_RETURN_PERIOD_MS = 500;
const DRAIN_POLL_INTERVAL_MS = 50;

export interface RouterOptions {
    readonly maxOpenRequests: number;
    /** How long a stopping router still accepts requests, until load balancers have removed it. */
    readonly lameDuckMs: number;
    /** How long a planned stop waits for open requests at most. */
    readonly drainMs: number;
}

export class RouterDaemon {
    private openRequests = 0;
    private isStopping = false;
    private readonly tasks: RepeatingTask[];

    constructor(
        readonly jobFactory: JobFactory,
        private readonly runner: RequestRunner,
        private readonly ledgers: LedgerClient,
        private readonly outbox: UsageOutbox,
        private readonly config: ConfigClient,
        runs: RunClient,
        handlers: PeerHandlers,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: RouterOptions,
    ) {
        runs.addHandlers(handlers);
        ledgers.addHandlers(handlers);
        this.tasks = [
            new RepeatingTask("usage", clock, log, USAGE_FLUSH_PERIOD_MS, () => outbox.flush()),
            new RepeatingTask("returns", clock, log, GRANT_RETURN_PERIOD_MS, () => ledgers.returnExpiredGrants()),
        ];
    }

    start(): void {
        this.tasks.forEach(task => task.start());
    }

    /** "stale": the router serves, but its configuration may be outdated. */
    getReadiness(): "ready" | "stale" | "starting" | "stopping" {
        if (this.isStopping) {
            return "stopping";
        }
        if (!this.config.isReady()) {
            return "starting";
        }
        return this.config.isFresh() ? "ready" : "stale";
    }

    /** Throws a RefusalError if the router cannot accept a request now. */
    checkAcceptsRequests(): void {
        const refusal = tryGetReadinessRefusal(this.config.isReady(), this.openRequests, this.options.maxOpenRequests);
        if (refusal !== undefined) {
            throw new RefusalError(refusal);
        }
    }

    /** Runs a job and writes its answer to the sink. Never rejects. */
    async handleRequest(job: Job, sink: AnswerSink): Promise<void> {
        this.openRequests += 1;
        this.metrics.setGauge("router.open_requests", this.openRequests);
        try {
            await this.runner.run(job, sink);
        }
        finally {
            this.openRequests -= 1;
        }
    }

    getFigures(): Record<string, number> {
        return { open_requests: this.openRequests, usage_waiting: this.outbox.getSize() };
    }

    /** First phase of a planned stop: reports "stopping" and keeps serving until load balancers have removed the router. */
    async startShutdown(): Promise<void> {
        this.isStopping = true;
        await this.clock.wait(this.options.lameDuckMs);
    }

    /** Second phase of a planned stop: drains open requests, returns the grants and flushes the usage records. */
    async finishShutdown(): Promise<void> {
        const deadline = this.clock.getMonotonicMs() + this.options.drainMs;
        while (this.openRequests > 0 && this.clock.getMonotonicMs() < deadline) {
            await this.clock.wait(DRAIN_POLL_INTERVAL_MS);
        }
        await Promise.all(this.tasks.map(task => task.stop()));
        await this.ledgers.returnAllGrants();
        await this.outbox.flush();
        this.log.info("router_drained", { requests_left: this.openRequests, records_left: this.outbox.getSize() });
    }
}
