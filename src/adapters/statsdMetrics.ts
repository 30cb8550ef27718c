/** Metrics sent to a StatsD collector. */
import { StatsD } from "hot-shots";
import { Metrics } from "../ports/metrics.js";
import { parseAddress } from "./rpc/tcpNetwork.js";

const NAME_PREFIX = "loomwinch.";
const MAX_BUFFER_BYTES = 1400;

export class StatsdMetrics extends Metrics {
    private readonly client: StatsD;

    constructor(address: string, tags: Record<string, string>) {
        super();
        const { host, port } = parseAddress(address);
        this.client = new StatsD({
            host,
            port,
            prefix: NAME_PREFIX,
            globalTags: tags,
            maxBufferSize: MAX_BUFFER_BYTES,
            // Delivery is best effort: an unreachable collector must not cause an error.
            errorHandler: () => undefined,
        });
    }

    override addCount(name: string, by = 1): void {
        this.client.increment(name, by);
    }
    override setGauge(name: string, value: number): void {
        this.client.gauge(name, value);
    }
    override recordTiming(name: string, ms: number): void {
        this.client.timing(name, ms);
    }
    override close(): void {
        this.client.close();
    }
}
