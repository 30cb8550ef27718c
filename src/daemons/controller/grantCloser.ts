/**
 * Closes grants whose router has stopped using them without saying so. A grant is closed when it has expired and every
 * sidecar that may have run under it has answered that nothing is running; a sidecar that was restarted in between
 * cannot answer for its past, and then what is left is written off as unaccounted.
 */
import { Ledger, type LedgerGrant } from "../../domain/ledger.js";
import { type CloseGrantAnswer, closeGrantMethod } from "../../protocol/runMethods.js";
import { type ControllerContext, getSidecars } from "./fleetView.js";
import type { LedgerService } from "./ledgerService.js";

const ASK_TIMEOUT_MS = 1_000;
const MAX_GRANTS_PER_ROUND = 500;

export class GrantCloser {
    constructor(private readonly context: ControllerContext, private readonly service: LedgerService) {}

    /** One round: asks the sidecars about the expired grants and closes those that nothing speaks against. */
    async closeExpired(): Promise<void> {
        const expired = this.context.ledger.getGrants().filter(grant => this.service.isExpired(grant.id));
        const grants = expired.slice(0, MAX_GRANTS_PER_ROUND);
        const answers = await this.askSidecars(grants.map(grant => grant.id));
        for (const grant of grants) {
            await this.tryClose(grant, answers);
        }
    }

    /** The sidecars' answers; undefined for one that did not answer. With no grants it only learns who they are. */
    private async askSidecars(grants: string[]): Promise<(CloseGrantAnswer | undefined)[]> {
        const { network, ledger } = this.context;
        const asked = getSidecars(this.context).map(async sidecar => {
            try {
                return await network.call(sidecar.address, closeGrantMethod, { grants }, ASK_TIMEOUT_MS);
            }
            catch {
                return undefined;
            }
        });
        const answers = await Promise.all(asked);
        for (const answer of answers) {
            if (answer !== undefined) {
                await Promise.all(answer.records.map(record => ledger.recordUsage(record)));
                await ledger.recordSidecarIncarnation(answer.box, answer.incarnation);
            }
        }
        return answers;
    }

    private async tryClose(grant: LedgerGrant, answers: readonly (CloseGrantAnswer | undefined)[]): Promise<void> {
        const { ledger, events } = this.context;
        const current = ledger.tryGetGrant(grant.id);
        if (current === undefined) {
            return;
        }
        const open = Ledger.getOpenTokens(current);
        const heard = answers.filter(answer => answer !== undefined);
        const isActive = heard.some(answer => answer.active.includes(grant.id));
        if (open > 0 && (heard.length < answers.length || isActive)) {
            return;
        }
        const complete = open === 0
            || heard.every(answer => ledger.isCoveredBySidecar(current, answer.box, answer.incarnation));
        await ledger.closeGrant(grant.id, complete);
        this.service.forgetGrant(grant.id);
        events.info("grant_closed", { grant: grant.id, budget: grant.budget, rest_tokens: open, complete });
    }
}
