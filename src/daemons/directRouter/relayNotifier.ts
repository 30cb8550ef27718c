/** Announces this router's configuration and its stop to the routers that it relays connections to. */
import type { RelayNotice } from "../../domain/relayingRouters.js";
import { relayNoticeMethod } from "../../protocol/fleetMethods.js";
import type { RouterLinks } from "./routerLinks.js";

/** Interval at which a stop is announced again, because a notice may be lost. */
const REPEAT_PERIOD_MS = 200;

interface SentNotice {
    readonly notice: RelayNotice;
    /** Monotonic clock, milliseconds. */
    readonly sentAt: number;
}

/** All times are monotonic, in milliseconds. */
export class RelayNotifier {
    private readonly sent = new Map<string, SentNotice>();

    /** `getNotice`: the present announcement. `listTargets`: peer addresses of the routers that connections are relayed to. */
    constructor(
        private readonly routerLinks: Pick<RouterLinks, "tryNotify">,
        private readonly getNotice: (now: number) => RelayNotice,
        private readonly listTargets: () => readonly string[],
    ) {}

    /** Sends the notices that are due. A router that cannot be notified is notified when it can be. */
    sendDue(now: number): void {
        const targets = this.listTargets();
        for (const address of this.sent.keys()) {
            if (!targets.includes(address)) {
                this.sent.delete(address);
            }
        }
        const notice = this.getNotice(now);
        for (const address of targets) {
            if (this.isDue(address, notice, now) && this.routerLinks.tryNotify(address, relayNoticeMethod, notice)) {
                this.sent.set(address, { notice, sentAt: now });
            }
        }
    }

    private isDue(address: string, notice: RelayNotice, now: number): boolean {
        const last = this.sent.get(address);
        if (last === undefined || last.notice.revision !== notice.revision) {
            return true;
        }
        return notice.closesInMs !== undefined
            && (last.notice.closesInMs === undefined || now - last.sentAt >= REPEAT_PERIOD_MS);
    }
}
