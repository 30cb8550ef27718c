/** Opens a controller's ledger from its journal; an empty journal begins a new incarnation. */
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import { createLedgerId, createRandomId } from "../../domain/identifiers.js";
import { Ledger, ShareSource } from "../../domain/ledger.js";
import type { LedgerEvent } from "../../domain/ledgerEvents.js";
import type { Journal, OpenedJournal } from "../../ports/journal.js";

/** The first record of a ledger's journal. */
interface IncarnationRecord {
    readonly type: "incarnation";
    readonly ledger: string;
}

/** A ledger as opened. */
export interface OpenedLedger {
    readonly ledger: Ledger;
    /** Whether the disk was empty: a first start, or a lost disk. */
    readonly startedEmpty: boolean;
}

export async function openLedger(opened: OpenedJournal, controller: string, log: ReplicatedLog): Promise<OpenedLedger> {
    const first = opened.records[0] as IncarnationRecord | undefined;
    const startedEmpty = first === undefined;
    const id = first?.ledger ?? createLedgerId(controller, createRandomId());
    const head: IncarnationRecord = { type: "incarnation", ledger: id };
    if (startedEmpty) {
        await opened.journal.append(head);
    }
    const journal = createHeadedJournal(opened.journal, head);
    const events = opened.records.slice(1) as LedgerEvent[];
    return { ledger: new Ledger(id, journal, new LogShareSource(id, log), events), startedEmpty };
}

/** A journal that keeps its first record when it is rewritten. */
function createHeadedJournal(journal: Journal, head: IncarnationRecord): Journal {
    return {
        append: record => journal.append(record),
        replaceAll: records => journal.replaceAll([head, ...records]),
        getSize: () => journal.getSize(),
        close: () => journal.close(),
    };
}

/** What the replicated log, as far as this replica has applied it, has handed to a ledger. */
class LogShareSource extends ShareSource {
    constructor(private readonly ledger: string, private readonly log: ReplicatedLog) {
        super();
    }

    override getAllotted(budget: string): number {
        return this.log.state.budgets.tryGetShare(budget, this.ledger)?.allottedTotal ?? 0;
    }

    override hasTopUp(operationId: string): boolean {
        return this.log.state.budgets.tryGetTopUp(operationId) !== undefined;
    }
}
