/** Implements the operator API: declared objects, top-ups, the audit trail, bills and status. */
import * as z from "zod";
import type { ProposeAnswer } from "../../consensus/messages.js";
import type { BillRecord } from "../../domain/billStore.js";
import { createRandomId } from "../../domain/identifiers.js";
import {
    type DeclaredObject,
    type Kind,
    type ObjectChange,
    type ObjectChangeRequest,
    specSchemas,
    topUpRequest,
} from "../../domain/objects.js";
import { isKind } from "../../domain/objectStore.js";
import { createRefusal, getRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { AuditRecord } from "../../ports/audit.js";
import type { TopUpAnswer } from "../../protocol/ledgerMethods.js";
import type { AuditTrail } from "./auditTrail.js";
import type { ControllerContext } from "./controllerContext.js";
import { type FleetStatus, StatusService } from "./statusService.js";
import type { TopUpService } from "./topUpService.js";

const APPLY_TIMEOUT_MS = 3_000;

const putBody = z.strictObject({
    spec: z.record(z.string(), z.unknown()),
    /** Expected current revision; 0 if the object must not exist; absent to skip the check. */
    revision: z.int().min(0).optional(),
    operationId: z.string().min(1).max(128).optional(),
});

const topUpBody = topUpRequest.omit({ operator: true }).partial({ operationId: true, home: true });

/** Result of an accepted change. */
export interface ChangeAnswer {
    readonly operationId: string;
    readonly revision: number;
}

export class OperatorService {
    private watchesClosed = false;

    constructor(
        private readonly context: ControllerContext,
        private readonly topUps: TopUpService,
        private readonly audit: AuditTrail,
        private readonly status: StatusService,
    ) {}

    async list(kind: string, stale: boolean): Promise<(DeclaredObject & { status: unknown; })[]> {
        const parsedKind = parseKind(kind);
        await this.prepareRead(stale);
        const fleet = await this.status.getStatus();
        return this.context.log.state.objects.getAll(parsedKind).map(object => ({
            ...object,
            status: this.status.createObjectStatus(object, fleet),
        }));
    }

    async get(kind: string, name: string, stale: boolean): Promise<DeclaredObject & { status: unknown; }> {
        const parsedKind = parseKind(kind);
        await this.prepareRead(stale);
        const object = this.context.log.state.objects.tryGet(parsedKind, name);
        if (object === undefined) {
            throw new RefusalError(createRefusal("objectUnknown", `${kind}/${name}`));
        }
        return { ...object, status: this.status.createObjectStatus(object, await this.status.getStatus()) };
    }

    async put(operator: string, kind: string, name: string, body: unknown): Promise<ChangeAnswer> {
        const parsedKind = parseKind(kind);
        const parsed = parseBody(putBody, body);
        const operationId = parsed.operationId ?? createRandomId();
        const spec = specSchemas[parsedKind].safeParse(parsed.spec);
        if (!spec.success) {
            return this.rejectChange(
                operator,
                operationId,
                "putObject",
                `${kind}/${name}`,
                z.prettifyError(spec.error),
            );
        }
        return this.proposeChange({
            type: "putObject",
            operationId,
            operator,
            kind: parsedKind,
            name,
            spec: spec.data as Record<string, unknown>,
            ...(parsed.revision === undefined ? {} : { expected: parsed.revision }),
        });
    }

    async delete(
        operator: string,
        kind: string,
        name: string,
        revision?: number,
        operationId?: string,
    ): Promise<ChangeAnswer> {
        return this.proposeChange({
            type: "deleteObject",
            operationId: operationId ?? createRandomId(),
            operator,
            kind: parseKind(kind),
            name,
            ...(revision === undefined ? {} : { expected: revision }),
        });
    }

    async topUp(operator: string, body: unknown): Promise<TopUpAnswer & { operationId: string; home: string; }> {
        const parsed = parseBody(topUpBody, body);
        const request = {
            ...parsed,
            operator,
            operationId: parsed.operationId ?? createRandomId(),
            home: parsed.home ?? this.context.name,
        };
        try {
            const answer = await this.topUps.handleTopUp(request);
            return { ...answer, operationId: request.operationId, home: request.home };
        }
        catch (error) {
            const { operationId, budget, tokens } = request;
            const at = this.context.clock.getWallMs();
            this.audit.recordRefusal({
                at,
                operator,
                operationId,
                action: "topUp",
                object: `budget/${budget}`,
                after: { tokens },
            }, getRefusal(error));
            throw error;
        }
    }

    /** Makes tokens available again that this controller's ledger has written off as unaccounted. */
    async releaseUnaccounted(operator: string, budget: string, tokens: number): Promise<{ released: number; }> {
        const released = await this.context.ledger.releaseUnaccounted(budget, tokens);
        this.context.events.info("unaccounted_released", { operator, budget, tokens: released });
        return { released };
    }

    getAuditRecords(limit: number): readonly AuditRecord[] {
        return this.audit.getRecords(limit);
    }

    getBills(limit: number): BillRecord[] {
        return this.context.ledger.getBills(limit);
    }

    getStatus(): Promise<FleetStatus> {
        return this.status.getStatus();
    }

    /**
     * Sends the changes after `revision` and all later ones until `isWanted` returns false or watches are closed.
     * Sends a snapshot if `revision` is 0 or the changes since then are no longer stored.
     */
    async watch(
        revision: number,
        isWanted: () => boolean,
        send: (type: "snapshot" | "changes", changes: readonly ObjectChange[], revision: number) => void,
    ): Promise<void> {
        const { log } = this.context;
        let sentRevision = revision;
        let isFirst = true;
        while (isWanted() && !this.watchesClosed) {
            const changes = sentRevision === 0 ? undefined : log.state.objects.tryGetChangesSince(sentRevision);
            const currentRevision = log.state.objects.getRevision();
            if (currentRevision > sentRevision || isFirst) {
                send(
                    changes === undefined ? "snapshot" : "changes",
                    changes ?? log.state.objects.getSnapshotObjects(),
                    currentRevision,
                );
                sentRevision = Math.max(currentRevision, sentRevision);
                isFirst = false;
            }
            await log.waitApplied(log.getAppliedIndex() + 1, WATCH_WAIT_MS).catch(() => undefined);
        }
    }

    /** Makes every watch return within `WATCH_WAIT_MS`. */
    closeWatches(): void {
        this.watchesClosed = true;
    }

    private async prepareRead(stale: boolean): Promise<void> {
        if (!stale) {
            await this.context.log.confirmReadIndex();
        }
    }

    private async proposeChange(change: ObjectChangeRequest): Promise<ChangeAnswer> {
        const { log } = this.context;
        const object = `${change.kind}/${change.name}`;
        try {
            const answer = await this.proposeUntilKnown(change);
            await log.waitApplied(answer.index, APPLY_TIMEOUT_MS).catch(() => undefined);
            if (answer.result.type === "refused") {
                throw new RefusalError(answer.result.refusal);
            }
            const revision = "revision" in answer.result ? answer.result.revision : answer.index;
            return { operationId: change.operationId, revision };
        }
        catch (error) {
            const refusal = getRefusal(error);
            if (refusal.code === "noMajority" || refusal.code === "changeUnknown") {
                const { operator, operationId } = change;
                this.audit.recordRefusal({
                    at: this.context.clock.getWallMs(),
                    operator,
                    operationId,
                    action: change.type,
                    object,
                }, refusal);
            }
            throw error;
        }
    }

    /**
     * Proposes a change, and proposes it again if the leader was lost: while its outcome is unknown, or while it was not
     * accepted and another leader can be expected, also in the middle of an election. The operation id makes that safe; an
     * operator who gave none could not ask again. A controller that has been cut off for longer refuses at once.
     */
    private async proposeUntilKnown(change: ObjectChangeRequest): Promise<ProposeAnswer> {
        const { log, clock } = this.context;
        const deadline = clock.getMonotonicMs() + OUTCOME_TIMEOUT_MS;
        let unknownOutcome: unknown;
        for (;;) {
            try {
                return await log.propose(change);
            }
            catch (error) {
                const { code } = getRefusal(error);
                unknownOutcome = code === "changeUnknown" ? error : unknownOutcome;
                const isLeaderLost = code === "changeUnknown" || code === "noMajority";
                const mayBeKnown = unknownOutcome !== undefined || log.isLeaderExpected();
                if (!isLeaderLost) {
                    throw error;
                }
                if (!mayBeKnown || clock.getMonotonicMs() >= deadline) {
                    throw unknownOutcome ?? error;
                }
                await clock.wait(PROPOSE_RETRY_INTERVAL_MS);
            }
        }
    }

    private rejectChange(operator: string, operationId: string, action: string, object: string, detail: string): never {
        const refusal = createRefusal("objectInvalid", detail);
        this.audit.recordRefusal(
            { at: this.context.clock.getWallMs(), operator, operationId, action, object },
            refusal,
        );
        throw new RefusalError(refusal);
    }
}

const WATCH_WAIT_MS = 1_000;
/** How long the outcome of a change is sought after its leader was lost: several elections. */
const OUTCOME_TIMEOUT_MS = 5_000;
const PROPOSE_RETRY_INTERVAL_MS = 100;

function parseKind(kind: string): Kind {
    if (!isKind(kind)) {
        throw new RefusalError(createRefusal("kindUnknown", kind));
    }
    return kind;
}

function parseBody<T>(schema: z.ZodType<T>, body: unknown): T {
    const parsed = schema.safeParse(body);
    if (!parsed.success) {
        throw new RefusalError(createRefusal("objectInvalid", z.prettifyError(parsed.error)));
    }
    return parsed.data;
}
