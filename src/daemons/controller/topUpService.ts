/**
 * Top-ups. Each has a home: the one ledger that accepts it, so that a resend that lands anywhere else is sent home and
 * never credited twice. A budget says how many copies make a top-up spendable: a majority of the disks, or, so that a
 * zone that is cut off can be topped up too, the home's disk and the memory of a sidecar in its zone.
 */
import type { StoredTopUp } from "../../domain/ledger.js";
import type { TopUpRequest } from "../../domain/objects.js";
import { createRefusal, formatRefusal, getRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { type TopUpAnswer, topUpMethod } from "../../protocol/ledgerMethods.js";
import { holdWitnessMethod, listWitnessMethod, type WitnessedTopUp } from "../../protocol/runMethods.js";
import { type ControllerContext, getSidecars } from "./fleetView.js";

const WITNESS_TIMEOUT_MS = 500;
const FORWARD_TIMEOUT_MS = 6_000;
/** Sidecars asked to hold a copy. */
const WITNESSES_ASKED = 3;
const RETRY_AFTER_MS = 1_000;

export class TopUpService {
    private recovered: boolean;

    constructor(
        private readonly context: ControllerContext,
        /** Whether this start found the disk empty, so that an earlier incarnation may have left witnessed top-ups. */
        startedEmpty: boolean,
    ) {
        this.recovered = !startedEmpty;
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(topUpMethod, request => this.topUp(request));
    }

    /** Takes a top-up, or sends it home. */
    async topUp(request: TopUpRequest): Promise<TopUpAnswer> {
        if (request.home !== this.context.name) {
            return this.forward(request);
        }
        const budget = this.context.log.state.objects.tryGet("budget", request.budget);
        if (budget === undefined) {
            throw new RefusalError(createRefusal("objectUnknown", `budget/${request.budget}`));
        }
        const known = this.context.log.state.budgets.tryGetTopUp(request.operationId);
        if (known !== undefined && (known.budget !== request.budget || known.tokens !== request.tokens)) {
            throw new RefusalError(createRefusal("operationReused", request.operationId));
        }
        if (known !== undefined) {
            return this.createAnswer(request.operationId);
        }
        return this.store(request, budget.spec.topUpCopies);
    }

    /** Proposes what the log does not hold yet. */
    async proposePending(): Promise<void> {
        for (const topUp of this.context.ledger.getPendingTopUps()) {
            await this.propose(topUp);
        }
    }

    /**
     * After a lost disk: asks the zone's sidecars for top-ups that the earlier incarnation made spendable, and has the
     * log credit them to its sealed share, so that a resend is recognised.
     */
    async recoverWitnessed(): Promise<void> {
        if (this.recovered) {
            return;
        }
        const { name, network } = this.context;
        for (const sidecar of this.getZoneSidecars()) {
            const answer = await network.call(
                sidecar.address,
                listWitnessMethod,
                { controller: name },
                WITNESS_TIMEOUT_MS,
            );
            for (const topUp of answer.topUps) {
                await this.creditWitnessed(topUp);
            }
        }
        this.recovered = true;
    }

    /** Says that no earlier incarnation can have left anything to recover. */
    skipRecovery(): void {
        this.recovered = true;
    }

    private async creditWitnessed(topUp: WitnessedTopUp): Promise<void> {
        const { log, ledger } = this.context;
        const known = log.state.budgets.tryGetTopUp(topUp.operationId) ?? ledger.tryGetTopUp(topUp.operationId);
        if (known !== undefined) {
            return;
        }
        const { operationId, operator, budget, tokens } = topUp;
        await log.propose({
            type: "creditTopUp",
            operationId,
            operator,
            budget,
            tokens,
            home: this.context.name,
            ledger: topUp.ledger,
        });
        this.context.events.info("top_up_recovered", { operation: operationId, budget, tokens, ledger: topUp.ledger });
    }

    private async forward(request: TopUpRequest): Promise<TopUpAnswer> {
        const home = this.context.controllers.find(controller => controller.name === request.home);
        if (home === undefined) {
            throw new RefusalError(createRefusal("objectInvalid", `no controller is named ${request.home}`));
        }
        try {
            return await this.context.network.call(home.address, topUpMethod, request, FORWARD_TIMEOUT_MS);
        }
        catch (error) {
            const refusal = getRefusal(error);
            if (refusal.code !== "peerGone" && refusal.code !== "peerTimeout") {
                throw error;
            }
            const code = refusal.ran === "no" ? "homeUnreachable" : "changeUnknown";
            throw new RefusalError(createRefusal(code, request.home, refusal.ran, RETRY_AFTER_MS));
        }
    }

    private async store(request: TopUpRequest, copies: StoredTopUp["copies"]): Promise<TopUpAnswer> {
        const { ledger } = this.context;
        if (copies === "zoneWitness" && !this.recovered) {
            throw new RefusalError(
                createRefusal(
                    "notReady",
                    "top-ups of an earlier incarnation are not recovered yet",
                    "no",
                    RETRY_AFTER_MS,
                ),
            );
        }
        const { operationId, operator, budget, tokens } = request;
        const stored = ledger.tryGetTopUp(operationId)
            ?? { operationId, operator, budget, tokens, copies, spendable: false };
        const refusal = await ledger.storeTopUp({ ...stored, budget, tokens });
        if (refusal !== undefined) {
            throw new RefusalError(refusal);
        }
        const witnesses = stored.copies === "zoneWitness" ? await this.askWitnesses(request) : 0;
        if (witnesses > 0) {
            await ledger.markTopUpSpendable(operationId);
        }
        await this.propose(ledger.tryGetTopUp(operationId)!).catch(error => {
            this.context.events.warn("top_up_not_logged", {
                operation: operationId,
                reason: formatRefusal(getRefusal(error)),
            });
        });
        return this.createAnswer(operationId, witnesses);
    }

    private createAnswer(operationId: string, witnesses = 0): TopUpAnswer {
        const { log, ledger } = this.context;
        if (log.state.budgets.tryGetTopUp(operationId) !== undefined) {
            return { spendable: true, replicas: log.getMajority(), witnesses };
        }
        if (ledger.tryGetTopUp(operationId)?.spendable === true) {
            return { spendable: true, replicas: 1, witnesses };
        }
        const detail = "stored at its home; it is credited once a majority is reached";
        throw new RefusalError(createRefusal("topUpWaiting", detail, "yes", RETRY_AFTER_MS));
    }

    private async propose(topUp: StoredTopUp): Promise<void> {
        const { log, ledger, name } = this.context;
        const { operationId, operator, budget, tokens } = topUp;
        // A top-up that may be spent here before the log has it must be credited here, whatever becomes of the answer.
        const ledgerId = topUp.copies === "zoneWitness" ? { ledger: ledger.id } : {};
        const answer = await log.propose({
            type: "creditTopUp",
            operationId,
            operator,
            budget,
            tokens,
            home: name,
            ...ledgerId,
        });
        await log.waitApplied(answer.index, FORWARD_TIMEOUT_MS);
    }

    private async askWitnesses(request: TopUpRequest): Promise<number> {
        const { operationId, operator, budget, tokens } = request;
        const copy: WitnessedTopUp = { ledger: this.context.ledger.id, operationId, operator, budget, tokens };
        const asked = this.getZoneSidecars().slice(0, WITNESSES_ASKED).map(sidecar =>
            this.context.network.call(sidecar.address, holdWitnessMethod, copy, WITNESS_TIMEOUT_MS)
        );
        const answers = await Promise.allSettled(asked);
        return answers.filter(answer => answer.status === "fulfilled").length;
    }

    private getZoneSidecars(): { address: string; }[] {
        return getSidecars(this.context).filter(sidecar => sidecar.zone === this.context.zone);
    }
}
