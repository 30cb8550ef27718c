/**
 * Intents: before a non-repeatable request is dispatched, its home ledger syncs a record of the only owner that may dispatch
 * it. The owner withdraws the intent if the request did not run.
 */
import type { Journal } from "../ports/journal.js";

/** Maximum number of stored intents; the oldest are evicted first. */
export const MAX_INTENTS = 500_000;

type IntentEvent =
    | { readonly type: "intend"; readonly requestId: string; readonly digest: string; readonly owner: string; }
    | { readonly type: "withdraw"; readonly requestId: string; };

/** The owner that may dispatch a request, and the digest of the request's body. */
export interface Intent {
    readonly digest: string;
    readonly owner: string;
}

export class IntentStore {
    private readonly intents = new Map<string, Intent>();
    private lastWrite: Promise<void> = Promise.resolve();

    constructor(private readonly journal: Journal, events: readonly IntentEvent[] = []) {
        events.forEach(event => this.applyEvent(event));
    }

    /** Stores the intent unless the request has one, and resolves with the stored intent once it is synced. */
    async storeIntent(requestId: string, intent: Intent): Promise<Intent> {
        const existing = this.intents.get(requestId);
        if (existing === undefined) {
            await this.record({ type: "intend", requestId, ...intent });
            return intent;
        }
        // The existing intent may not be synced yet.
        await this.lastWrite;
        return existing;
    }

    /** Removes the intent if it belongs to `owner`. */
    async withdraw(requestId: string, owner: string): Promise<void> {
        if (this.intents.get(requestId)?.owner === owner) {
            await this.record({ type: "withdraw", requestId });
        }
    }

    /** Rewrites the journal without withdrawn and evicted intents. */
    async compact(): Promise<void> {
        const events = [...this.intents].map(([requestId, intent]) => ({
            type: "intend" as const,
            requestId,
            ...intent,
        }));
        await this.journal.replaceAll(events);
    }

    private async record(event: IntentEvent): Promise<void> {
        this.applyEvent(event);
        this.lastWrite = this.journal.append(event);
        await this.lastWrite;
    }

    private applyEvent(event: IntentEvent): void {
        if (event.type === "withdraw") {
            this.intents.delete(event.requestId);
            return;
        }
        this.intents.set(event.requestId, { digest: event.digest, owner: event.owner });
        if (this.intents.size > MAX_INTENTS) {
            this.intents.delete(this.intents.keys().next().value!);
        }
    }
}
