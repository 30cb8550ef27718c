/** Reference model of a fleet: tracks budgets and open requests globally to detect false refusals and overspending. */

interface OpenRequest {
    readonly budget: string;
    readonly service: string;
    /** Upper bound of its consumption, in tokens. */
    readonly maxTokens: number;
}

export class FleetModel {
    private readonly remainingTokens = new Map<string, number>();
    private readonly openRequests = new Map<string, OpenRequest>();

    /** `slots`: maximum number of concurrent runs by service. */
    constructor(private readonly slots: Readonly<Record<string, number>>) {}

    addTopUp(budget: string, tokens: number): void {
        this.remainingTokens.set(budget, (this.remainingTokens.get(budget) ?? 0) + tokens);
    }

    startRequest(id: string, budget: string, service: string, maxTokens: number): void {
        this.openRequests.set(id, { budget, service, maxTokens });
    }

    endRequest(id: string, billedTokens: number): void {
        const request = this.openRequests.get(id);
        this.openRequests.delete(id);
        if (request !== undefined) {
            this.addTopUp(request.budget, -billedTokens);
        }
    }

    /** Whether the budget and the slots suffice for this request together with all other open requests. */
    isServable(id: string): boolean {
        const refused = this.openRequests.get(id)!;
        let reservedTokens = 0;
        let runningCount = 0;
        for (const request of this.openRequests.values()) {
            reservedTokens += request.budget === refused.budget ? request.maxTokens : 0;
            runningCount += request.service === refused.service ? 1 : 0;
        }
        const hasBudget = (this.remainingTokens.get(refused.budget) ?? 0) >= reservedTokens;
        return hasBudget && runningCount <= (this.slots[refused.service] ?? 0);
    }

    /** Sums the tokens billed in excess of each budget. */
    computeOverspentTokens(): number {
        let overspend = 0;
        this.remainingTokens.forEach(tokens => overspend += Math.max(0, -tokens));
        return overspend;
    }
}
