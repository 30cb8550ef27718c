/** Asks other routers for prepaid tokens when the controllers cannot be reached or have none left. */
import type { PrepaidPurse } from "../../domain/prepaidPurse.js";
import type { Log } from "../../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import { lendPrepaidMethod } from "../../protocol/fleetMethods.js";

/** Times in milliseconds. */
export interface PrepaidBorrowerOptions {
    /** Other routers that are asked for one request, one after the other. */
    readonly maxAsked: number;
    readonly callTimeoutMs: number;
}

export class PrepaidBorrower {
    private others: readonly string[] = [];
    /** Counts the routers asked, so that each is asked in turn. */
    private next = 0;

    constructor(
        private readonly purse: PrepaidPurse,
        private readonly network: PeerNetwork,
        private readonly log: Log,
        private readonly options: PrepaidBorrowerOptions,
    ) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(lendPrepaidMethod, ({ account, tokens, rank }) => {
            const lent = this.purse.lend(account, tokens, rank, performance.now());
            // What could not be lent is told by the one that asked, if its request comes to nothing.
            if (lent > 0) {
                this.log.info("prepaid_lent", { account, asked: tokens, lent });
            }
            return { tokens: lent };
        });
    }

    /** Takes the addresses of the other routers. */
    setOthers(others: readonly string[]): void {
        this.others = others;
    }

    /** Asks one router after the other for what a reservation lacks. Answers whether that came together. */
    async borrow(account: string, tokens: number, rank: number): Promise<boolean> {
        const count = Math.min(this.options.maxAsked, this.others.length);
        for (let i = 0; i < count; i++) {
            const missing = this.purse.getShortfall(account, tokens, rank, performance.now());
            if (missing === 0) {
                return true;
            }
            const address = this.others[this.next++ % this.others.length]!;
            this.purse.addBorrowed(account, await this.ask(address, account, missing, rank));
        }
        return this.purse.getShortfall(account, tokens, rank, performance.now()) === 0;
    }

    private async ask(address: string, account: string, tokens: number, rank: number): Promise<number> {
        try {
            const { callTimeoutMs } = this.options;
            const answer = await this.network.call(
                address,
                lendPrepaidMethod,
                { account, tokens, rank },
                callTimeoutMs,
            );
            return answer.tokens;
        }
        catch (error) {
            // What the other gave away is lost then: safe, and it asks for more in its next report.
            this.log.warn("prepaid_not_borrowed", { router: address, account, tokens, error: String(error) });
            return 0;
        }
    }
}
