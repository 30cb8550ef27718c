/** Store of declared objects with compare-and-set by revision, idempotent operations and a change history for watches. */
import { computeDigest, formatCanonicalJson } from "./identifiers.js";
import type { DeclaredObject, Kind, ObjectChange, ObjectChangeRequest, SpecByKind } from "./objects.js";
import { isDeletion, kinds } from "./objects.js";
import { createRefusal, type Refusal } from "./resultCodes.js";

/** Number of changes that are always retained for watches; a watch further behind may receive a snapshot. */
export const HISTORY_LENGTH = 4096;
/** Maximum number of operation results retained to answer resends: about eight hours at 58,000 changes a day. */
export const MAX_OPERATIONS = 20_000;

/** Result of a change; a resend of the operation returns the same result. */
export type ChangeResult =
    | { readonly type: "accepted"; readonly revision: number; readonly before?: unknown; readonly after?: unknown; }
    | { readonly type: "refused"; readonly refusal: Refusal; readonly revision?: number; };

export interface ObjectStoreSnapshot {
    readonly revision: number;
    readonly objects: readonly DeclaredObject[];
    readonly operations: readonly (readonly [string, string, ChangeResult])[];
}

interface CompletedOperation {
    readonly digest: string;
    readonly result: ChangeResult;
}

/** Applies operators' changes in log order. Deterministic, so that replicas do not diverge. */
export class ObjectStore {
    private readonly objects = new Map<string, DeclaredObject>();
    private readonly operations = new Map<string, CompletedOperation>();
    private history: ObjectChange[] = [];
    private historyStartRevision = 0;
    private lastRevision = 0;

    /** Returns the revision of the newest change. */
    getRevision(): number {
        return this.lastRevision;
    }

    tryGet<K extends Kind>(kind: K, name: string): DeclaredObject<K> | undefined {
        return this.objects.get(`${kind}/${name}`) as DeclaredObject<K> | undefined;
    }

    /** Returns all objects of a kind, sorted by name. */
    getAll<K extends Kind>(kind: K): DeclaredObject<K>[] {
        const found: DeclaredObject<K>[] = [];
        for (const object of this.objects.values()) {
            if (object.kind === kind) {
                found.push(object as DeclaredObject<K>);
            }
        }
        return found.sort((a, b) => (a.name < b.name ? -1 : 1));
    }

    /** Returns the changes after `revision`, or undefined if the history does not go back that far. */
    tryGetChangesSince(revision: number): readonly ObjectChange[] | undefined {
        if (revision < this.historyStartRevision) {
            return undefined;
        }
        return this.history.filter(change => change.revision > revision);
    }

    getSnapshotObjects(): DeclaredObject[] {
        return [...this.objects.values()];
    }

    /** Applies a change at log index `index`, or returns the earlier result if its operation was applied before. */
    apply(change: ObjectChangeRequest, index: number): ChangeResult {
        const digest = computeDigest(formatCanonicalJson({ ...change, operator: "" }));
        const completed = this.operations.get(change.operationId);
        if (completed !== undefined) {
            if (completed.digest === digest) {
                return completed.result;
            }
            return { type: "refused", refusal: createRefusal("operationReused", change.operationId) };
        }
        const result = this.validateAndApply(change, index);
        this.recordOperation(change.operationId, { digest, result });
        return result;
    }

    private validateAndApply(change: ObjectChangeRequest, index: number): ChangeResult {
        const current = this.tryGet(change.kind, change.name);
        const currentRevision = current?.revision ?? 0;
        if (change.expected !== undefined && change.expected !== currentRevision) {
            const detail = `${change.kind}/${change.name} is at revision ${currentRevision}, not ${change.expected}`;
            return { type: "refused", refusal: createRefusal("revisionConflict", detail), revision: currentRevision };
        }
        const refusal = change.type === "putObject" ? this.checkPut(change) : this.checkDelete(change, current);
        if (refusal !== undefined) {
            return { type: "refused", refusal, revision: currentRevision };
        }
        const after = change.type === "putObject"
            ? { kind: change.kind, name: change.name, revision: index, spec: change.spec } as unknown as DeclaredObject
            : { kind: change.kind, name: change.name, revision: index, deleted: true as const };
        this.applyChange(after);
        return {
            type: "accepted",
            revision: index,
            before: current?.spec,
            after: isDeletion(after) ? undefined : after.spec,
        };
    }

    /** Updates the objects and appends the change to the history. */
    private applyChange(change: ObjectChange): void {
        if (isDeletion(change)) {
            this.objects.delete(`${change.kind}/${change.name}`);
        }
        else {
            this.objects.set(`${change.kind}/${change.name}`, change);
        }
        this.lastRevision = change.revision;
        this.history.push(change);
        if (this.history.length > HISTORY_LENGTH * 2) {
            const dropped = this.history.splice(0, HISTORY_LENGTH);
            this.historyStartRevision = dropped[dropped.length - 1]!.revision;
        }
    }

    private checkPut(change: Extract<ObjectChangeRequest, { type: "putObject"; }>): Refusal | undefined {
        const checkReference = (kind: Kind, name: string): Refusal | undefined =>
            this.tryGet(kind, name) === undefined
                ? createRefusal("referenceMissing", `${change.kind}/${change.name} refers to ${kind}/${name}`)
                : undefined;
        if (change.kind === "budget") {
            return checkReference("clientAccount", (change.spec as SpecByKind["budget"]).account);
        }
        if (change.kind === "upstream" || change.kind === "rankRule") {
            return checkReference("service", (change.spec as SpecByKind["upstream" | "rankRule"]).service);
        }
        return undefined;
    }

    private checkDelete(change: ObjectChangeRequest, current: DeclaredObject | undefined): Refusal | undefined {
        if (current === undefined) {
            return createRefusal("objectUnknown", `${change.kind}/${change.name}`);
        }
        const referrer = this.tryGetReferrer(change.kind, change.name);
        return referrer === undefined ? undefined : createRefusal("stillReferenced", `by ${referrer}`);
    }

    private tryGetReferrer(kind: Kind, name: string): string | undefined {
        for (const object of this.objects.values()) {
            const spec = object.spec as { account?: string; service?: string; };
            if ((kind === "clientAccount" && spec.account === name) || (kind === "service" && spec.service === name)) {
                return `${object.kind}/${object.name}`;
            }
        }
        return undefined;
    }

    private recordOperation(operationId: string, operation: CompletedOperation): void {
        this.operations.set(operationId, operation);
        if (this.operations.size > MAX_OPERATIONS) {
            const oldest = this.operations.keys().next().value!;
            this.operations.delete(oldest);
        }
    }

    createSnapshot(): ObjectStoreSnapshot {
        return {
            revision: this.lastRevision,
            objects: this.getSnapshotObjects(),
            operations: [...this.operations].map(([id, operation]) =>
                [id, operation.digest, operation.result] as const
            ),
        };
    }

    /** Replaces the content with a snapshot. Watches at an earlier revision receive a snapshot, too. */
    loadSnapshot(snapshot: ObjectStoreSnapshot): void {
        this.objects.clear();
        this.operations.clear();
        for (const object of snapshot.objects) {
            this.objects.set(`${object.kind}/${object.name}`, object);
        }
        for (const [id, digest, result] of snapshot.operations) {
            this.operations.set(id, { digest, result });
        }
        this.history = [];
        this.historyStartRevision = snapshot.revision;
        this.lastRevision = snapshot.revision;
    }
}

export function isKind(text: string): text is Kind {
    return (kinds as readonly string[]).includes(text);
}
