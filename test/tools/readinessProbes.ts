/** Questions to the readiness interface of each router, by which callers choose routers as the platform does. */
import type { ProcessFleet } from "./processFleet.js";

const PROBE_PERIOD_MS = 1_000;
/** Failed questions in a row after which new connections go to other routers. */
const MAX_FAILURES = 2;

export class ReadinessProbes {
    private readonly failures = new Map<string, number>();
    private timer: NodeJS.Timeout | undefined;
    private turn = 0;

    constructor(private readonly fleet: ProcessFleet) {}

    start(): void {
        this.timer = setInterval(
            () => this.fleet.listRouters().forEach(router => void this.probe(router)),
            PROBE_PERIOD_MS,
        );
    }

    stop(): void {
        clearInterval(this.timer);
    }

    isUsable(router: string): boolean {
        return (this.failures.get(router) ?? 0) < MAX_FAILURES;
    }

    /** Returns the usable routers in turn, or any router if there are none. */
    chooseUsable(): string {
        const routers = this.fleet.listRouters();
        const usable = routers.filter(router => this.isUsable(router));
        const candidates = usable.length > 0 ? usable : routers;
        this.turn += 1;
        return candidates[this.turn % candidates.length]!;
    }

    private async probe(router: string): Promise<void> {
        const isReady = await this.fleet.isReady(router);
        this.failures.set(router, isReady ? 0 : (this.failures.get(router) ?? 0) + 1);
    }
}
