/** Applies fair shares and the order of ranks to the requests of a router while upstreams are short. */
import { type AdmissionPolicy, isShort, SHORTAGE_GOAL_FRACTION } from "../../domain/admissionPolicy.js";
import { FairShares, type FairSharesOptions } from "../../domain/fairShares.js";
import type { LocalTokenBudget } from "../../domain/localTokenBudget.js";
import { RankOrder, ShortageState } from "../../domain/rankOrder.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { ServiceOutlook } from "../../domain/upstreamSelection.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { computePriority, LOWEST_PRIORITY, type ResolvedRequest } from "./relayRequest.js";

/** Interval at which changes are logged and recent sums are requested, in milliseconds. */
const UPDATE_PERIOD_MS = 500;
/** Work of a request without known tokens, so that accounts of plain services have a demand too. */
const MIN_REQUEST_TOKENS = 1;
/** Accounts that a log line names at most. */
const MAX_LOGGED_ACCOUNTS = 10;

interface ServiceState {
    readonly shortage: ShortageState;
    readonly order: RankOrder;
}

/** Bound by the configuration: one state per service. All `now` parameters are milliseconds on the monotonic clock. */
export class FairShareControl {
    private readonly shares: FairShares;
    private readonly services = new Map<string, ServiceState>();
    private timer: NodeJS.Timeout | undefined;
    private loggedState = "";

    constructor(
        readonly options: FairSharesOptions,
        readonly admission: AdmissionPolicy,
        private readonly tokenBudget: LocalTokenBudget,
        getRouterCount: () => number,
        readonly random: () => number,
        private readonly log: Log,
        readonly metrics: Metrics,
    ) {
        this.shares = new FairShares(
            options,
            () => tokenBudget.listFleetDemand(),
            getRouterCount,
            now => Math.min(1, ...[...this.services.values()].map(({ shortage }) => shortage.getCapacityFactor(now))),
        );
    }

    start(): void {
        this.timer = setInterval(() => this.update(performance.now()), UPDATE_PERIOD_MS);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Records a request and decides whether it is in the part beyond its account's share. `expectedTokens`: its work. */
    createRequest(resolved: ResolvedRequest, expectedTokens: number, now: number): FairShareRequest {
        const tokens = Math.max(MIN_REQUEST_TOKENS, expectedTokens);
        const { service, account } = resolved;
        const state = this.getServiceState(service.name);
        const rank = computePriority(resolved);
        state.order.recordRequest(rank, now);
        if (account !== undefined) {
            this.shares.recordRequested(account.name, tokens, now);
        }
        if (!state.shortage.isShort(now)) {
            return new FairShareRequest(this, this.shares, resolved, state, tokens, rank, false);
        }
        const isBeyondShare = account !== undefined
            && this.random() < this.shares.getExcessFraction(account.name, now);
        const priority = isBeyondShare ? Math.min(LOWEST_PRIORITY, rank + 1) : state.order.getUrgency(rank, now);
        return new FairShareRequest(this, this.shares, resolved, state, tokens, priority, isBeyondShare);
    }

    /** Called periodically. */
    update(now: number): void {
        const shortServices = [...this.services].filter(([, { shortage }]) => shortage.isShort(now));
        if (shortServices.length > 0) {
            // Routers report only changes of the accounts that they hold; without this, the sums would be outdated.
            this.tokenBudget.requestAnswers(now - this.options.dataExpiryMs / 2);
        }
        this.logChange(shortServices.map(([name]) => name).sort(), now);
    }

    private logChange(shortServices: readonly string[], now: number): void {
        const accounts = shortServices.length > 0 ? this.shares.listOverShare(now) : [];
        const fields = {
            short: shortServices.join(","),
            over_share: accounts.slice(0, MAX_LOGGED_ACCOUNTS).join(","),
            over_share_count: accounts.length,
            view: this.shares.hasFleetView(now) ? "fleet" : "own",
        };
        const isUneventful = shortServices.length === 0;
        const state = isUneventful ? "" : JSON.stringify(fields);
        if (state !== this.loggedState) {
            this.loggedState = state;
            this.log.info("fair_shares", fields);
        }
    }

    private getServiceState(service: string): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            const { rankFloorFraction, refusalMemoryMs } = this.options;
            state = { shortage: new ShortageState(), order: new RankOrder(rankFloorFraction, refusalMemoryMs) };
            this.services.set(service, state);
        }
        return state;
    }
}

/** One request. Its part of the share is decided once, so that its urgency does not change between attempts. */
export class FairShareRequest {
    /** Without regard to shares. */
    private readonly rank: number;
    private isChecked = false;
    private isAdmitted = false;

    constructor(
        private readonly control: FairShareControl,
        private readonly shares: FairShares,
        private readonly resolved: ResolvedRequest,
        private readonly state: ServiceState,
        private readonly tokens: number,
        /** Urgency at upstreams: one level lower for the part beyond the share. */
        readonly priority: number,
        private readonly isBeyondShare: boolean,
    ) {
        this.rank = computePriority(resolved);
    }

    /** Returns a refusal if the request has to leave room for others. Decided once, with the first outlook. */
    tryRefuse(outlook: ServiceOutlook | undefined, now: number): Refusal | undefined {
        if (this.isChecked || outlook === undefined || !outlook.isRecent) {
            return undefined;
        }
        this.recordOutlook(outlook, now);
        const { shortage, order } = this.state;
        const { goalMs } = this.resolved.route;
        if (!shortage.isShort(now) || outlook.hasIdle) {
            return undefined;
        }
        // It would miss its goal, others are refused already, or those within their shares leave no time for it.
        const hasNoRoom = outlook.queueWaitMs > goalMs || order.isRefusing(this.rank, now)
            || this.control.random() >= shortage.getCapacityFactor(now);
        if (this.isBeyondShare && hasNoRoom) {
            const detail = `account ${this.resolved.account!.name} is beyond its share`;
            return this.createRefusal(detail, outlook.queueWaitMs - goalMs * SHORTAGE_GOAL_FRACTION);
        }
        return order.tryAdmit(this.rank, now)
            ? undefined
            : this.createRefusal("more urgent requests are refused", this.control.options.refusalMemoryMs);
    }

    /** Records that upstreams cannot serve the request in time. The part beyond a share does not block less urgent ranks. */
    recordNoTimeLeft(outlook: ServiceOutlook, now: number): void {
        if (!this.isChecked) {
            this.recordOutlook(outlook, now);
        }
        if (!this.isBeyondShare) {
            this.state.order.recordRefusal(this.rank, now);
        }
    }

    /** Records that the request is sent to an upstream. */
    recordSend(now: number): void {
        const { account } = this.resolved;
        if (this.isAdmitted || account === undefined) {
            return;
        }
        this.isAdmitted = true;
        this.shares.recordAdmitted(account.name, this.tokens, now);
        if (this.isBeyondShare) {
            this.control.metrics.addCount("requests_deferred");
        }
    }

    private recordOutlook(outlook: ServiceOutlook, now: number): void {
        const { goalMs } = this.resolved.route;
        const isTooLong = isShort(outlook, goalMs);
        const overdueFraction = isTooLong
            ? (outlook.queueWaitMs / goalMs - SHORTAGE_GOAL_FRACTION) / (1 - SHORTAGE_GOAL_FRACTION)
            : 0;
        this.isChecked = true;
        this.state.shortage.record(isTooLong, this.isBeyondShare ? undefined : overdueFraction, now);
    }

    private createRefusal(detail: string, waitMs: number): Refusal {
        this.control.metrics.addCount("requests_refused_fairShare");
        return createRefusal("overShare", detail, "no", this.control.admission.drawRetryAfterMs(waitMs));
    }
}
