/** The declared objects: compare-and-set on revisions, answers to resent operations, and the history that watches read. */
import { computeDigest, formatCanonicalJson } from "./identifiers.js";
import type { DeclaredObject, Kind, ObjectChange, ObjectChangeRequest, SpecByKind } from "./objects.js";
import { isDeletion, kinds } from "./objects.js";
import { createRefusal, type Refusal } from "./resultCodes.js";

/** How many changes a watch may lie behind before it gets a snapshot instead. */
export const HISTORY_LENGTH = 4096;
/** How many operations are remembered to answer a resend; at 58,000 changes a day this is eight hours. */
export const OPERATIONS_KEPT = 20_000;

/** The answer to a change, the same to every resend of its operation. */
export type ChangeResult =
    | { readonly type: "accepted"; readonly revision: number; readonly before?: unknown; readonly after?: unknown; }
    | { readonly type: "refused"; readonly refusal: Refusal; readonly revision?: number; };

/** The store's content, as a snapshot holds it. */
export interface ObjectStoreSnapshot {
    readonly revision: number;
    readonly objects: readonly DeclaredObject[];
    readonly operations: readonly (readonly [string, string, ChangeResult])[];
}

interface RememberedOperation {
    readonly digest: string;
    readonly result: ChangeResult;
}

/** Applies operators' changes in the log's order. Deterministic: every replica comes to the same content. */
export class ObjectStore {
    private readonly objects = new Map<string, DeclaredObject>();
    private readonly operations = new Map<string, RememberedOperation>();
    private history: ObjectChange[] = [];
    private historyFrom = 0;
    private lastRevision = 0;

    /** Revision of the newest change. */
    getRevision(): number {
        return this.lastRevision;
    }

    tryGet<K extends Kind>(kind: K, name: string): DeclaredObject<K> | undefined {
        return this.objects.get(`${kind}/${name}`) as DeclaredObject<K> | undefined;
    }

    /** All objects of a kind in order of name. */
    getAll<K extends Kind>(kind: K): DeclaredObject<K>[] {
        const found: DeclaredObject<K>[] = [];
        for (const object of this.objects.values()) {
            if (object.kind === kind) {
                found.push(object as DeclaredObject<K>);
            }
        }
        return found.sort((a, b) => (a.name < b.name ? -1 : 1));
    }

    /** The changes after `revision`, or undefined when the history does not reach back that far. */
    tryGetChangesSince(revision: number): readonly ObjectChange[] | undefined {
        if (revision < this.historyFrom) {
            return undefined;
        }
        return this.history.filter(change => change.revision > revision);
    }

    /** Every object as it is now. */
    getSnapshotObjects(): DeclaredObject[] {
        return [...this.objects.values()];
    }

    /** Applies one change at log index `index`, or repeats the answer its operation got before. */
    apply(change: ObjectChangeRequest, index: number): ChangeResult {
        const digest = computeDigest(formatCanonicalJson({ ...change, operator: "" }));
        const remembered = this.operations.get(change.operationId);
        if (remembered !== undefined) {
            if (remembered.digest === digest) {
                return remembered.result;
            }
            return { type: "refused", refusal: createRefusal("operationReused", change.operationId) };
        }
        const result = this.applyOnce(change, index);
        this.recordOperation(change.operationId, { digest, result });
        return result;
    }

    private applyOnce(change: ObjectChangeRequest, index: number): ChangeResult {
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

    /** Takes a change in and keeps it for watches. */
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
            this.historyFrom = dropped[dropped.length - 1]!.revision;
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
        const user = this.tryGetUser(change.kind, change.name);
        return user === undefined ? undefined : createRefusal("stillReferenced", `by ${user}`);
    }

    private tryGetUser(kind: Kind, name: string): string | undefined {
        for (const object of this.objects.values()) {
            const spec = object.spec as { account?: string; service?: string; };
            if ((kind === "clientAccount" && spec.account === name) || (kind === "service" && spec.service === name)) {
                return `${object.kind}/${object.name}`;
            }
        }
        return undefined;
    }

    private recordOperation(operationId: string, operation: RememberedOperation): void {
        this.operations.set(operationId, operation);
        if (this.operations.size > OPERATIONS_KEPT) {
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

    /** Replaces the content by a snapshot's. Watches older than it get a snapshot themselves. */
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
        this.historyFrom = snapshot.revision;
        this.lastRevision = snapshot.revision;
    }
}

/** Whether `text` names a kind of declared object. */
export function isKind(text: string): text is Kind {
    return (kinds as readonly string[]).includes(text);
}
