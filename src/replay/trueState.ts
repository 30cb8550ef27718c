/**
 * The whole fleet's true state as the replay knows it, which no process of the fleet has: what each budget really has
 * left, and how many runs each service really has. Refusals are judged by it.
 */

interface OpenRequest {
    readonly budget: string;
    readonly service: string;
    /** Most it may consume, in tokens. */
    readonly bound: number;
}

export class TrueState {
    private readonly remaining = new Map<string, number>();
    private readonly open = new Map<string, OpenRequest>();

    /** `slots`: runs that each service can have at once. */
    constructor(private readonly slots: Readonly<Record<string, number>>) {}

    addTopUp(budget: string, tokens: number): void {
        this.remaining.set(budget, (this.remaining.get(budget) ?? 0) + tokens);
    }

    begin(id: string, budget: string, service: string, bound: number): void {
        this.open.set(id, { budget, service, bound });
    }

    /** Ends a request with what it was billed. */
    end(id: string, billed: number): void {
        const request = this.open.get(id);
        this.open.delete(id);
        if (request !== undefined) {
            this.addTopUp(request.budget, -billed);
        }
    }

    /**
     * Whether a request that was refused could have been served: its budget covers its bound beside the bounds of
     * everything that is open, and its service has a free slot.
     */
    couldHaveServed(id: string): boolean {
        const refused = this.open.get(id)!;
        let reserved = 0;
        let running = 0;
        for (const request of this.open.values()) {
            reserved += request.budget === refused.budget ? request.bound : 0;
            running += request.service === refused.service ? 1 : 0;
        }
        const hasBudget = (this.remaining.get(refused.budget) ?? 0) >= reserved;
        return hasBudget && running <= (this.slots[refused.service] ?? 0);
    }

    /** Tokens billed past the budgets. */
    getOverspend(): number {
        let overspend = 0;
        this.remaining.forEach(tokens => overspend += Math.max(0, -tokens));
        return overspend;
    }
}
