/** One router: takes callers' requests and sees each to its answer. Keeps nothing on disk. */
import { RefusalError } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers } from "../../ports/peer.js";
import type { ConfigClient } from "../configClient.js";
import { RepeatingTask } from "../task.js";
import type { UsageOutbox } from "../usageOutbox.js";
import { type CallerRequests, tryGetReadinessRefusal } from "./callerRequests.js";
import type { AnswerSink, Job } from "./job.js";
import type { LedgerClient } from "./ledgerClient.js";
import type { RequestRunner } from "./requestRunner.js";
import type { RunClient } from "./runClient.js";

const FLUSH_PERIOD_MS = 50;
const RETURN_PERIOD_MS = 500;
const DRAIN_TURN_MS = 50;

/** Times in milliseconds. */
export interface RouterOptions {
    /** Requests open at once. */
    readonly maxOpenRequests: number;
    /** How long a stopping router goes on taking requests, so that the balancer can notice. */
    readonly lameDuckMs: number;
    /** Longest that a planned stop waits for open requests. */
    readonly drainMs: number;
}

export class RouterDaemon {
    private open = 0;
    private stopping = false;
    private readonly tasks: RepeatingTask[];

    constructor(
        readonly requests: CallerRequests,
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
            new RepeatingTask("usage", clock, log, FLUSH_PERIOD_MS, () => outbox.flush()),
            new RepeatingTask("returns", clock, log, RETURN_PERIOD_MS, () => ledgers.returnExpired()),
        ];
    }

    start(): void {
        this.tasks.forEach(task => task.start());
    }

    /** "stale": it serves, with a configuration that may not be the newest. */
    getReadiness(): "ready" | "stale" | "starting" | "stopping" {
        if (this.stopping) {
            return "stopping";
        }
        if (!this.config.isReady()) {
            return "starting";
        }
        return this.config.isFresh() ? "ready" : "stale";
    }

    /** Throws where no request can be taken now. */
    checkOpen(): void {
        const refusal = tryGetReadinessRefusal(this.config.isReady(), this.open, this.options.maxOpenRequests);
        if (refusal !== undefined) {
            throw new RefusalError(refusal);
        }
    }

    /** Sees a request to its answer. Never rejects. */
    async answer(job: Job, sink: AnswerSink): Promise<void> {
        this.open += 1;
        this.metrics.setGauge("router.open_requests", this.open);
        try {
            await this.runner.run(job, sink);
        }
        finally {
            this.open -= 1;
        }
    }

    getFigures(): Record<string, number> {
        return { open_requests: this.open, usage_waiting: this.outbox.getSize() };
    }

    /** First part of a planned stop: says so to the balancer and goes on serving until it has noticed. */
    async prepareStop(): Promise<void> {
        this.stopping = true;
        await this.clock.wait(this.options.lameDuckMs);
    }

    /** Last part: lets every open request end, gives the grants back, hands the usage records over. */
    async finishStop(): Promise<void> {
        const deadline = this.clock.getMonotonicMs() + this.options.drainMs;
        while (this.open > 0 && this.clock.getMonotonicMs() < deadline) {
            await this.clock.wait(DRAIN_TURN_MS);
        }
        await Promise.all(this.tasks.map(task => task.stop()));
        await this.ledgers.returnAll();
        await this.outbox.flush();
        this.log.info("router_drained", { requests_left: this.open, records_left: this.outbox.getSize() });
    }
}
