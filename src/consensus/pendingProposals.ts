/** Proposals whose entries have not been applied yet. */
import type { LogEntry } from "../domain/commands.js";
import type { ApplyResult } from "../domain/declaredState.js";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import type { ProposeAnswer } from "./messages.js";

interface PendingProposal {
    readonly term: number;
    readonly resolve: (answer: ProposeAnswer) => void;
    readonly reject: (error: Error) => void;
}

export class PendingProposals {
    private readonly pending = new Map<number, PendingProposal>();

    /** @param retryAfterMs Delay after which a proposer whose proposal timed out should retry. */
    constructor(private readonly timeoutMs: number, private readonly retryAfterMs: number) {}

    /** Waits for an entry to be applied; rejects with `changeUnknown` if its outcome is not known in time. */
    add(entry: LogEntry): Promise<ProposeAnswer> {
        const answer = new Promise<ProposeAnswer>((resolve, reject) => {
            this.pending.set(entry.index, { term: entry.term, resolve, reject });
        });
        const timer = setTimeout(() => this.fail(entry.index), this.timeoutMs);
        answer.then(() => clearTimeout(timer), () => clearTimeout(timer));
        return answer;
    }

    /** Settles the proposal of an applied entry, if there is one. */
    resolve(entry: LogEntry, result: ApplyResult): void {
        const proposal = this.pending.get(entry.index);
        if (proposal === undefined) {
            return;
        }
        this.pending.delete(entry.index);
        if (proposal.term === entry.term) {
            proposal.resolve({ index: entry.index, result });
        }
        else {
            // Another leader's entry replaced the proposed one at this index.
            proposal.reject(
                new RefusalError(
                    createRefusal("noMajority", "the proposed entry was replaced by another leader's", "no"),
                ),
            );
        }
    }

    /** Rejects all pending proposals with `changeUnknown`: their entries may still be committed. */
    failAll(): void {
        for (const index of [...this.pending.keys()]) {
            this.fail(index);
        }
    }

    private fail(index: number): void {
        const proposal = this.pending.get(index);
        this.pending.delete(index);
        proposal?.reject(
            new RefusalError(createRefusal("changeUnknown", `index ${index}`, "unknown", this.retryAfterMs)),
        );
    }
}
