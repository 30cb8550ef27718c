/**
 * Closes expired grants that their routers have not closed. A grant with open tokens is closed only after every sidecar
 * has reported that no request is running under it. If a sidecar was restarted since the grant was opened, its earlier
 * usage is unknown and the open tokens are written off as unaccounted.
 */
import { Ledger, type LedgerGrant } from "../../domain/ledger.js";
import { type CloseGrantAnswer, closeGrantMethod } from "../../protocol/runMethods.js";
import { type ControllerContext, getSidecars } from "./controllerContext.js";
import type { LedgerService } from "./ledgerService.js";

const CLOSE_GRANT_TIMEOUT_MS = 1_000;
const MAX_GRANTS_PER_ROUND = 500;

export class GrantCloser {
    constructor(private readonly context: ControllerContext, private readonly ledgerService: LedgerService) {}

    /** Queries the sidecars about expired grants and closes those that are no longer in use. */
    async closeExpired(): Promise<void> {
        const expired = this.context.ledger.getGrants().filter(grant => this.ledgerService.isExpired(grant.id));
        const grants = expired.slice(0, MAX_GRANTS_PER_ROUND);
        const answers = await this.querySidecars(grants.map(grant => grant.id));
        for (const grant of grants) {
            await this.tryClose(grant, answers);
        }
    }

    /** Queries all sidecars; the result is undefined for each that did not answer. Also records their incarnations. */
    private async querySidecars(grants: string[]): Promise<(CloseGrantAnswer | undefined)[]> {
        const { network, ledger } = this.context;
        const calls = getSidecars(this.context).map(async sidecar => {
            try {
                return await network.call(sidecar.address, closeGrantMethod, { grants }, CLOSE_GRANT_TIMEOUT_MS);
            }
            catch {
                return undefined;
            }
        });
        const answers = await Promise.all(calls);
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
        const openTokens = Ledger.getOpenTokens(current);
        const received = answers.filter(answer => answer !== undefined);
        const isActive = received.some(answer => answer.active.includes(grant.id));
        if (openTokens > 0 && (received.length < answers.length || isActive)) {
            return;
        }
        const complete = openTokens === 0
            || received.every(answer => ledger.isCoveredBySidecar(current, answer.box, answer.incarnation));
        await ledger.closeGrant(grant.id, complete);
        this.ledgerService.forgetGrant(grant.id);
        events.info("grant_closed", { grant: grant.id, budget: grant.budget, rest_tokens: openTokens, complete });
    }
}
