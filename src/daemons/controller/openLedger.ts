/** Opens a controller's ledger from its journal. An empty journal starts a new incarnation. */
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

export interface OpenedLedger {
    readonly ledger: Ledger;
    /** Whether the journal was empty, because of a first start or a disk loss. */
    readonly startedEmpty: boolean;
}

export async function openLedger(opened: OpenedJournal, controller: string, log: ReplicatedLog): Promise<OpenedLedger> {
    const first = opened.records[0] as IncarnationRecord | undefined;
    const startedEmpty = first === undefined;
    const id = first?.ledger ?? createLedgerId(controller, createRandomId());
    const header: IncarnationRecord = { type: "incarnation", ledger: id };
    if (startedEmpty) {
        await opened.journal.append(header);
    }
    const journal = createJournalWithHeader(opened.journal, header);
    const events = opened.records.slice(1) as LedgerEvent[];
    return { ledger: new Ledger(id, journal, new LogShareSource(id, log), events), startedEmpty };
}

/** Wraps a journal so that its header record is preserved when its records are replaced. */
function createJournalWithHeader(journal: Journal, header: IncarnationRecord): Journal {
    return {
        append: record => journal.append(record),
        replaceAll: records => journal.replaceAll([header, ...records]),
        getSize: () => journal.getSize(),
        close: () => journal.close(),
    };
}

/** Provides a ledger's allotments and top-ups from the entries that this replica has applied. */
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
