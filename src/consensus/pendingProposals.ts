/** Proposals that wait for their entries to be applied. */
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

    /** `timeoutMs`: how long a proposal waits. `retryAfterMs`: when its proposer should ask again. */
    constructor(private readonly timeoutMs: number, private readonly retryAfterMs: number) {}

    /** Waits for an entry; rejects with changeUnknown where it is not known in time what became of it. */
    add(entry: LogEntry): Promise<ProposeAnswer> {
        const answer = new Promise<ProposeAnswer>((resolve, reject) => {
            this.pending.set(entry.index, { term: entry.term, resolve, reject });
        });
        const timer = setTimeout(() => this.fail(entry.index), this.timeoutMs);
        answer.then(() => clearTimeout(timer), () => clearTimeout(timer));
        return answer;
    }

    /** Answers the proposal that waits for an applied entry, if there is one. */
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
            // Another leader's entry took the place of the proposed one.
            proposal.reject(new RefusalError(createRefusal("noMajority", "another leader took over", "no")));
        }
    }

    /** Ends every wait: the entries may or may not come to be applied. */
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
