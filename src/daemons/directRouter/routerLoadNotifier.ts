/** Sends this router's load to the other routers of its zone, which may relay connections to it. */
import type { RouterLoad } from "../../domain/connectionRelayPolicy.js";
import type { RouterContact } from "../../domain/routerGroups.js";
import { createRouterGroups } from "../../domain/routerGroups.js";
import { routerLoadNoticeMethod } from "../../protocol/fleetMethods.js";
import type { RouterLinks } from "./routerLinks.js";

/** Maximum number of routers to notify. */
export const MAX_NOTIFIED_ROUTERS = 16;
/** A change of utilization that is sent before the next regular notice. */
const MIN_UTILIZATION_CHANGE = 0.1;
/** Time between two notices of a changed utilization to the same router. */
const MIN_NOTICE_INTERVAL_MS = 200;
/** Half of the time after which a notice expires, so that one may be lost. */
const NOTICE_PERIOD_MS = 1_000;
/**
 * Below the target utilization by less than this, a router may soon relay connections, so that it is sent notices. Larger than
 * the change that is notified at once.
 */
const INTEREST_MARGIN = 0.2;
const UTILIZATION_DECIMALS = 2;

interface SentNotice {
    readonly load: RouterLoad;
    /** Monotonic clock, milliseconds. */
    readonly sentAt: number;
}

/** All times are monotonic, in milliseconds. */
export class RouterLoadNotifier {
    private neighbours: readonly string[] = [];
    private readonly sent = new Map<string, SentNotice>();

    /**
     * `getLoad`: this router's current load; undefined while it cannot serve requests.
     * `tryGetUtilization`: utilization of another router, if its last notice has not expired.
     */
    constructor(
        private readonly self: RouterContact,
        private readonly targetUtilization: number,
        private readonly routerLinks: RouterLinks,
        private readonly getLoad: () => RouterLoad | undefined,
        private readonly tryGetUtilization: (address: string, now: number) => number | undefined,
    ) {}

    /** Updates the routers to notify. In a large zone, these are the routers of the own group. */
    setOthers(others: readonly RouterContact[]): void {
        const inZone = others.filter(({ zone }) => zone === this.self.zone).map(({ address }) => address).sort();
        const group = createRouterGroups([this.self, ...others]).find(addresses =>
            addresses.includes(this.self.address)
        );
        this.neighbours = inZone.length <= MAX_NOTIFIED_ROUTERS
            ? inZone
            : inZone.filter(address => group?.includes(address)).slice(0, MAX_NOTIFIED_ROUTERS);
        for (const address of this.sent.keys()) {
            if (!this.neighbours.includes(address)) {
                this.sent.delete(address);
            }
        }
    }

    /** Sends the notices that are due. */
    sendDue(now: number): void {
        const load = this.getLoad();
        if (load === undefined) {
            return;
        }
        const rounded = { ...load, utilization: Number(load.utilization.toFixed(UTILIZATION_DECIMALS)) };
        for (const address of this.neighbours) {
            if (
                this.isDue(address, rounded, now)
                && this.routerLinks.tryNotify(address, routerLoadNoticeMethod, rounded)
            ) {
                this.sent.set(address, { load: rounded, sentAt: now });
            }
        }
    }

    private isDue(address: string, load: RouterLoad, now: number): boolean {
        const last = this.sent.get(address);
        if (
            last !== undefined && (last.load.revision !== load.revision || last.load.isAccepting !== load.isAccepting)
        ) {
            return true;
        }
        if (!this.mayRelaySoon(load.utilization) && !this.mayRelaySoon(this.tryGetUtilization(address, now))) {
            return false;
        }
        const elapsedMs = last === undefined ? Infinity : now - last.sentAt;
        const hasChanged = last === undefined
            || Math.abs(last.load.utilization - load.utilization) >= MIN_UTILIZATION_CHANGE - Number.EPSILON;
        return elapsedMs >= NOTICE_PERIOD_MS || (hasChanged && elapsedMs >= MIN_NOTICE_INTERVAL_MS);
    }

    /**
     * Whether a router with this utilization may relay connections soon. It sends notices itself, so that the other routers
     * know that it needs theirs.
     */
    private mayRelaySoon(utilization: number | undefined): boolean {
        return utilization !== undefined && utilization >= this.targetUtilization - INTEREST_MARGIN;
    }
}
