/** What operators can do: read and change declared objects, top budgets up, read the audit trail and the status. */
import * as z from "zod";
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
import type { ControllerContext } from "./fleetView.js";
import { type FleetStatus, StatusService } from "./statusService.js";
import type { TopUpService } from "./topUpService.js";

const APPLY_TIMEOUT_MS = 3_000;

const putBody = z.strictObject({
    spec: z.record(z.string(), z.unknown()),
    /** Revision the change was made on; 0 for an object that must be new; absent for whichever there is. */
    revision: z.int().min(0).optional(),
    operationId: z.string().min(1).max(128).optional(),
});

const topUpBody = topUpRequest.omit({ operator: true }).partial({ operationId: true, home: true });

/** An accepted change. */
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
        const known = checkKind(kind);
        await this.read(stale);
        const fleet = await this.status.getStatus();
        return this.context.log.state.objects.getAll(known).map(object => ({
            ...object,
            status: this.status.createObjectStatus(object, fleet),
        }));
    }

    async get(kind: string, name: string, stale: boolean): Promise<DeclaredObject & { status: unknown; }> {
        const known = checkKind(kind);
        await this.read(stale);
        const object = this.context.log.state.objects.tryGet(known, name);
        if (object === undefined) {
            throw new RefusalError(createRefusal("objectUnknown", `${kind}/${name}`));
        }
        return { ...object, status: this.status.createObjectStatus(object, await this.status.getStatus()) };
    }

    async put(operator: string, kind: string, name: string, body: unknown): Promise<ChangeAnswer> {
        const known = checkKind(kind);
        const parsed = checkBody(putBody, body);
        const operationId = parsed.operationId ?? createRandomId();
        const spec = specSchemas[known].safeParse(parsed.spec);
        if (!spec.success) {
            return this.refuse(operator, operationId, "putObject", `${kind}/${name}`, z.prettifyError(spec.error));
        }
        return this.change({
            type: "putObject",
            operationId,
            operator,
            kind: known,
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
        return this.change({
            type: "deleteObject",
            operationId: operationId ?? createRandomId(),
            operator,
            kind: checkKind(kind),
            name,
            ...(revision === undefined ? {} : { expected: revision }),
        });
    }

    async topUp(operator: string, body: unknown): Promise<TopUpAnswer & { operationId: string; home: string; }> {
        const parsed = checkBody(topUpBody, body);
        const request = {
            ...parsed,
            operator,
            operationId: parsed.operationId ?? createRandomId(),
            home: parsed.home ?? this.context.name,
        };
        try {
            const answer = await this.topUps.topUp(request);
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

    /** Frees tokens that were written off in this controller's ledger. */
    async releaseUnaccounted(operator: string, budget: string, tokens: number): Promise<{ released: number; }> {
        const released = await this.context.ledger.releaseUnaccounted(budget, tokens);
        this.context.events.info("unaccounted_released", { operator, budget, tokens: released });
        return { released };
    }

    getAudit(limit: number): readonly AuditRecord[] {
        return this.audit.getRecords(limit);
    }

    getBills(limit: number): BillRecord[] {
        return this.context.ledger.getBills(limit);
    }

    getStatus(): Promise<FleetStatus> {
        return this.status.getStatus();
    }

    /**
     * Calls back with the changes after `revision`, and again as there are more, until `isWanted` says no. A revision
     * that is no longer kept gets a snapshot, marked as one.
     */
    async watch(
        revision: number,
        isWanted: () => boolean,
        send: (type: "snapshot" | "changes", changes: readonly ObjectChange[], revision: number) => void,
    ): Promise<void> {
        const { log } = this.context;
        let sent = revision;
        let first = true;
        while (isWanted() && !this.watchesClosed) {
            const changes = sent === 0 ? undefined : log.state.objects.tryGetChangesSince(sent);
            const now = log.state.objects.getRevision();
            if (now > sent || first) {
                send(
                    changes === undefined ? "snapshot" : "changes",
                    changes ?? log.state.objects.getSnapshotObjects(),
                    now,
                );
                sent = Math.max(now, sent);
                first = false;
            }
            await log.waitApplied(log.getAppliedIndex() + 1, WATCH_TURN_MS).catch(() => undefined);
        }
    }

    /** Ends every watch, at its next turn. */
    closeWatches(): void {
        this.watchesClosed = true;
    }

    private async read(stale: boolean): Promise<void> {
        if (!stale) {
            await this.context.log.readThroughMajority();
        }
    }

    private async change(change: ObjectChangeRequest): Promise<ChangeAnswer> {
        const { log } = this.context;
        const object = `${change.kind}/${change.name}`;
        try {
            const answer = await log.propose(change);
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

    private refuse(operator: string, operationId: string, action: string, object: string, detail: string): never {
        const refusal = createRefusal("objectInvalid", detail);
        this.audit.recordRefusal(
            { at: this.context.clock.getWallMs(), operator, operationId, action, object },
            refusal,
        );
        throw new RefusalError(refusal);
    }
}

const WATCH_TURN_MS = 1_000;

function checkKind(kind: string): Kind {
    if (!isKind(kind)) {
        throw new RefusalError(createRefusal("kindUnknown", kind));
    }
    return kind;
}

function checkBody<T>(schema: z.ZodType<T>, body: unknown): T {
    const parsed = schema.safeParse(body);
    if (!parsed.success) {
        throw new RefusalError(createRefusal("objectInvalid", z.prettifyError(parsed.error)));
    }
    return parsed.data;
}
