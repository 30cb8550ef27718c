/**
 * Intents: before a not-repeatable request is dispatched, its home ledger has a synced record of who may dispatch it.
 * Nobody else ever may, unless that owner says that nothing ran.
 */
import type { Journal } from "../ports/journal.js";

/** How many intents are kept; the oldest go first. */
export const INTENTS_KEPT = 500_000;

type IntentEvent =
    | { readonly type: "intend"; readonly requestId: string; readonly digest: string; readonly owner: string; }
    | { readonly type: "withdraw"; readonly requestId: string; };

/** Who may dispatch a request, and the digest of its body. */
export interface Intent {
    readonly digest: string;
    readonly owner: string;
}

export class IntentBook {
    private readonly intents = new Map<string, Intent>();
    private lastWrite: Promise<void> = Promise.resolve();

    constructor(private readonly journal: Journal, events: readonly IntentEvent[] = []) {
        events.forEach(event => this.apply(event));
    }

    /** Stores the intent, or answers the one that stands already. Resolves once synced. */
    async intend(requestId: string, intent: Intent): Promise<Intent> {
        const standing = this.intents.get(requestId);
        if (standing === undefined) {
            await this.record({ type: "intend", requestId, ...intent });
            return intent;
        }
        // A resend may find an intent that is not synced yet.
        await this.lastWrite;
        return standing;
    }

    /** Removes an intent, if `owner` still holds it. */
    async withdraw(requestId: string, owner: string): Promise<void> {
        if (this.intents.get(requestId)?.owner === owner) {
            await this.record({ type: "withdraw", requestId });
        }
    }

    /** Rewrites the journal without what has been withdrawn or has grown too old. */
    async compact(): Promise<void> {
        const events = [...this.intents].map(([requestId, intent]) => ({
            type: "intend" as const,
            requestId,
            ...intent,
        }));
        await this.journal.replaceAll(events);
    }

    private async record(event: IntentEvent): Promise<void> {
        this.apply(event);
        this.lastWrite = this.journal.append(event);
        await this.lastWrite;
    }

    private apply(event: IntentEvent): void {
        if (event.type === "withdraw") {
            this.intents.delete(event.requestId);
            return;
        }
        this.intents.set(event.requestId, { digest: event.digest, owner: event.owner });
        if (this.intents.size > INTENTS_KEPT) {
            this.intents.delete(this.intents.keys().next().value!);
        }
    }
}
