/**
 * The repeats that this router may send to each service: its own allowance, and permits of the controllers beyond it. Neither
 * depends on how many routers there are, or on what a process that has ended has sent.
 */
import { waitForNextPoll } from "../../adapters/nextPoll.js";
import { ConditionVariable } from "../../consensus/conditionVariable.js";
import { RepeatAllowance } from "../../domain/repeatAllowance.js";
import {
    computePermitWaitMs,
    HeldPermits,
    MAX_PERMITS_PER_CLAIM,
    type PermitAnswer,
} from "../../domain/repeatPermits.js";
import { getRefusal } from "../../domain/resultCodes.js";
import type { Clock } from "../../ports/clock.js";
import type { Log, LogFields } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { claimPermitsMethod, type PermitClaim } from "../../protocol/repeatMethods.js";
import type { RepeatsOptions } from "../../settings/repeatSettings.js";
import type { RequestRecorder } from "./requestRecorder.js";

/** Controllers that are asked one after the other for the same permits. */
const MAX_ASKED_CONTROLLERS = 3;

/** Leave to send one request again, until it is used or released. Times are of the monotonic clock, in milliseconds. */
export abstract class RepeatClaim {
    /** Uses the claim as the request is being sent; false if it may not be sent any more. */
    abstract trySend(now: number): boolean;
    /** Returns a claim that is not used. */
    abstract release(): void;
}

/** A repeat within the router's own allowance. */
class AllowedRepeat extends RepeatClaim {
    constructor(private readonly allowance: RepeatAllowance) {
        super();
    }

    override trySend(now: number): boolean {
        return this.allowance.trySend(now);
    }

    override release(): void {
        this.allowance.release();
    }
}

/** A repeat by a permit. */
class PermittedRepeat extends RepeatClaim {
    private readonly epoch: number;

    constructor(private readonly permits: HeldPermits, private readonly expiry: number) {
        super();
        this.epoch = permits.getEpoch();
    }

    override trySend(now: number): boolean {
        return now < this.expiry && this.epoch === this.permits.getEpoch();
    }

    override release(): void {
        if (this.epoch === this.permits.getEpoch()) {
            this.permits.restore(this.expiry);
        }
    }
}

interface Service {
    readonly allowance: RepeatAllowance;
    readonly permits: HeldPermits;
    readonly permitsChanged: ConditionVariable;
    /** Requests that wait for a permit. */
    waitingCount: number;
    isAsking: boolean;
}

export class ServiceRepeats {
    private readonly services = new Map<string, Service>();
    /** Position of the controller that is asked, which changes when one does not answer. */
    private controllerIndex = 0;

    /** `random`: returns a number in [0, 1). `getControllers`: addresses, the ones to be asked first in front. */
    constructor(
        private readonly options: RepeatsOptions,
        private readonly recorder: RequestRecorder,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly random: () => number,
        private readonly getControllers: () => readonly string[],
    ) {}

    recordRequest(service: string): void {
        this.getService(service).allowance.recordRequest(this.clock.getMonotonicMs());
    }

    /**
     * Claims a repeat, if there is one without a wait that leaves `keptCount` within the allowance. Otherwise asks for permits,
     * so that later requests have some.
     */
    tryClaim(name: string, keptCount: number): RepeatClaim | undefined {
        const service = this.getService(name);
        const claim = this.tryClaimHeld(service, keptCount);
        if (claim === undefined) {
            this.startRequest(name, service);
        }
        return claim;
    }

    /** Claims a repeat, which may wait for a permit. `goalMs`: latency goal of the request. */
    async waitForClaim(name: string, keptCount: number, goalMs: number): Promise<RepeatClaim | undefined> {
        const service = this.getService(name);
        const deadline = this.clock.getMonotonicMs() + computePermitWaitMs(this.options.permitWaitMs, goalMs);
        service.waitingCount += 1;
        try {
            for (;;) {
                const claim = this.tryClaim(name, keptCount);
                const remainingMs = deadline - this.clock.getMonotonicMs();
                if (claim !== undefined || !service.isAsking) {
                    return claim;
                }
                if (remainingMs <= 0) {
                    // An event loop that was late may have the answer, and not have read it.
                    await waitForNextPoll();
                    return this.tryClaim(name, keptCount);
                }
                await service.permitsChanged.wait(remainingMs);
            }
        }
        finally {
            service.waitingCount -= 1;
        }
    }

    /** Records that a request is being sent to a service again. */
    recordSent(service: string, details: LogFields): void {
        this.recorder.recordRepeatSent(service, { ...details, ...this.countLastWindow(service) });
    }

    /** Counts a request that is sent to another upstream because its own had been replaced. */
    recordSentPastReplaced(): void {
        this.recorder.recordSentPastReplaced();
    }

    /** Records that a request is not sent again because nothing could be claimed. */
    recordRefused(service: string, details: LogFields): void {
        this.recorder.recordRepeatRefused(service, { ...details, ...this.countLastWindow(service) });
    }

    /** Voids all that could be repeated: the clock missed an unknown time. */
    reset(): void {
        this.services.forEach(({ allowance, permits }) => {
            allowance.reset();
            permits.clear();
        });
    }

    /** Forgets the services that are no longer declared. */
    retainOnly(declared: ReadonlySet<string>): void {
        [...this.services.keys()].filter(name => !declared.has(name)).forEach(name => this.services.delete(name));
    }

    /** Returns the requests and repeats of this router that a log line names. */
    private countLastWindow(service: string) {
        return this.getService(service).allowance.countLastWindow(this.clock.getMonotonicMs());
    }

    private tryClaimHeld({ allowance, permits }: Service, keptCount: number): RepeatClaim | undefined {
        const now = this.clock.getMonotonicMs();
        if (allowance.tryClaim(now, keptCount)) {
            return new AllowedRepeat(allowance);
        }
        const expiry = permits.tryDraw(now);
        return expiry === undefined ? undefined : new PermittedRepeat(permits, expiry);
    }

    /** Asks for permits, once at a time and not soon after a call that brought none. */
    private startRequest(name: string, service: Service): void {
        if (!service.isAsking && service.permits.mayAsk(this.clock.getMonotonicMs())) {
            service.isAsking = true;
            void this.requestPermits(name, service);
        }
    }

    private async requestPermits(name: string, service: Service): Promise<void> {
        const askedAt = this.clock.getMonotonicMs();
        const count = Math.min(Math.max(1, service.waitingCount), MAX_PERMITS_PER_CLAIM);
        let waitMs: number | undefined;
        try {
            const answer = await this.callControllers({ service: name, count, isForwarded: false });
            service.permits.receive(answer, askedAt);
            waitMs = answer.permits > 0 ? undefined : answer.retryAfterMs;
            this.log.info("repeat_permits", { service: name, asked: count, granted: answer.permits, wait_ms: waitMs });
        }
        catch (error) {
            waitMs = 0;
            this.log.info("repeat_permits_not_granted", { service: name, error: String(error) });
        }
        if (waitMs !== undefined) {
            // Spread, because all routers that were told the same time would ask at once.
            const spreadMs = Math.max(waitMs, this.options.minClaimIntervalMs) * (1 + this.random() / 2);
            service.permits.setNextClaimAt(this.clock.getMonotonicMs() + spreadMs);
        }
        service.isAsking = false;
        service.permitsChanged.notifyAll();
    }

    /** Asks a controller, and another one at once if that is gone: requests wait for the answer. */
    private async callControllers(claim: PermitClaim): Promise<PermitAnswer> {
        const controllers = this.getControllers();
        for (let asked = 1;; asked++) {
            const controller = controllers[this.controllerIndex % Math.max(1, controllers.length)];
            if (controller === undefined) {
                throw new Error("no controller is known");
            }
            try {
                return await this.network.call(controller, claimPermitsMethod, claim, this.options.claimTimeoutMs);
            }
            catch (error) {
                this.controllerIndex += 1;
                const isGone = getRefusal(error).code === "peerGone";
                if (!isGone || asked >= Math.min(MAX_ASKED_CONTROLLERS, controllers.length)) {
                    throw error;
                }
                this.log.info("repeat_permits_not_granted", { controller, error: String(error) });
            }
        }
    }

    private getService(name: string): Service {
        let service = this.services.get(name);
        if (service === undefined) {
            service = {
                allowance: new RepeatAllowance(this.options),
                permits: new HeldPermits(),
                permitsChanged: new ConditionVariable(),
                waitingCount: 0,
                isAsking: false,
            };
            this.services.set(name, service);
        }
        return service;
    }
}
