/**
 * Accepts top-ups. Each is stored only by its home controller; the others forward it there, so that a resent top-up is
 * not credited twice. Depending on the budget, a top-up becomes spendable once a majority has stored it, or once it is
 * on the home's disk and in the memory of a sidecar in the same zone, which also works in a partitioned zone.
 */
import type { StoredTopUp } from "../../domain/ledger.js";
import type { TopUpRequest } from "../../domain/objects.js";
import { createRefusal, formatRefusal, getRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { type TopUpAnswer, topUpMethod } from "../../protocol/ledgerMethods.js";
import { holdWitnessMethod, listWitnessMethod, type WitnessedTopUp } from "../../protocol/runMethods.js";
import { type ControllerContext, getSidecars } from "./controllerContext.js";

const WITNESS_TIMEOUT_MS = 500;
const FORWARD_TIMEOUT_MS = 6_000;
/** Maximum number of sidecars that are asked to store a copy. */
const MAX_WITNESSES = 3;
const RETRY_AFTER_MS = 1_000;

export class TopUpService {
    private isRecoveryComplete: boolean;

    constructor(
        private readonly context: ControllerContext,
        /** Whether the disk was empty at startup, so that sidecars may hold top-ups of an earlier incarnation. */
        startedEmpty: boolean,
    ) {
        this.isRecoveryComplete = !startedEmpty;
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(topUpMethod, request => this.handleTopUp(request));
    }

    /** Stores a top-up, or forwards it to its home controller. */
    async handleTopUp(request: TopUpRequest): Promise<TopUpAnswer> {
        if (request.home !== this.context.name) {
            return this.forwardToHome(request);
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
        return this.storeTopUp(request, budget.spec.topUpCopies);
    }

    /** Proposes stored top-ups that are not in the replicated log yet. */
    async proposePendingTopUps(): Promise<void> {
        for (const topUp of this.context.ledger.getPendingTopUps()) {
            await this.proposeTopUp(topUp);
        }
    }

    /**
     * After a disk loss, reads top-ups of earlier incarnations from the zone's sidecars and credits them to the sealed
     * shares, so that resent top-ups are recognized as duplicates.
     */
    async recoverTopUps(): Promise<void> {
        if (this.isRecoveryComplete) {
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
                await this.creditRecoveredTopUp(topUp);
            }
        }
        this.isRecoveryComplete = true;
    }

    /** Marks recovery as complete if there is no earlier incarnation to recover from. */
    skipRecovery(): void {
        this.isRecoveryComplete = true;
    }

    private async creditRecoveredTopUp(topUp: WitnessedTopUp): Promise<void> {
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

    private async forwardToHome(request: TopUpRequest): Promise<TopUpAnswer> {
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

    private async storeTopUp(request: TopUpRequest, copies: StoredTopUp["copies"]): Promise<TopUpAnswer> {
        const { ledger } = this.context;
        if (copies === "zoneWitness" && !this.isRecoveryComplete) {
            throw new RefusalError(
                createRefusal(
                    "notReady",
                    "top-ups of an earlier ledger incarnation have not been recovered yet",
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
        const witnesses = stored.copies === "zoneWitness" ? await this.storeWitnessCopies(request) : 0;
        if (witnesses > 0) {
            await ledger.markTopUpSpendable(operationId);
        }
        await this.proposeTopUp(ledger.tryGetTopUp(operationId)!).catch(error => {
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
            return { spendable: true, replicas: log.getQuorumSize(), witnesses };
        }
        if (ledger.tryGetTopUp(operationId)?.spendable === true) {
            return { spendable: true, replicas: 1, witnesses };
        }
        const detail = "stored at its home; it is credited once a majority is reached";
        throw new RefusalError(createRefusal("topUpWaiting", detail, "yes", RETRY_AFTER_MS));
    }

    private async proposeTopUp(topUp: StoredTopUp): Promise<void> {
        const { log, ledger, name } = this.context;
        const { operationId, operator, budget, tokens } = topUp;
        // A zone-witnessed top-up may be spent from this ledger before it is in the log, so it must be credited here.
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

    private async storeWitnessCopies(request: TopUpRequest): Promise<number> {
        const { operationId, operator, budget, tokens } = request;
        const copy: WitnessedTopUp = { ledger: this.context.ledger.id, operationId, operator, budget, tokens };
        const calls = this.getZoneSidecars().slice(0, MAX_WITNESSES).map(sidecar =>
            this.context.network.call(sidecar.address, holdWitnessMethod, copy, WITNESS_TIMEOUT_MS)
        );
        const answers = await Promise.allSettled(calls);
        return answers.filter(answer => answer.status === "fulfilled").length;
    }

    private getZoneSidecars(): { address: string; }[] {
        return getSidecars(this.context).filter(sidecar => sidecar.zone === this.context.zone);
    }
}
