/** Metrics in the Prometheus text format, served over HTTP. */
import type { Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { type Log, NoLog } from "../ports/log.js";
import { Metrics } from "../ports/metrics.js";
import { createServiceServer } from "./http/serviceServer.js";
import { startListening } from "./startListening.js";

const NAME_PREFIX = "loomwinch_";
/** Upper bounds of the histogram buckets. */
const TIMING_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 15_000];

/** Creates each metric when it is first recorded. */
export class PrometheusMetrics extends Metrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly timings = new Map<string, Histogram>();
    private server: Server | undefined;
    /** Metrics are served before the process has a log. */
    private log: Log = new NoLog();

    setLog(log: Log): void {
        this.log = log;
    }

    /** Serves the metrics at any path of `host`:`port`. Resolves once the server is listening. */
    async listen(host: string, port: number): Promise<void> {
        const server = createServiceServer("metrics", this.log, this, (_request, response) => {
            this.registry.metrics().then(
                text => response.writeHead(200, { "Content-Type": this.registry.contentType }).end(text),
                () => response.writeHead(500).end(),
            );
        });
        await startListening(server, host, port);
        server.unref();
        this.server = server;
    }

    override addCount(name: string, by = 1): void {
        this.getOrCreate(this.counters, name, options => new Counter(options)).inc(by);
    }

    override setGauge(name: string, value: number): void {
        this.getOrCreate(this.gauges, name, options => new Gauge(options)).set(value);
    }

    override recordTiming(name: string, ms: number): void {
        this.getOrCreate(
            this.timings,
            name,
            options => new Histogram({ ...options, buckets: TIMING_BUCKETS_MS }),
        ).observe(ms);
    }

    override close(): void {
        this.server?.close();
    }

    private getOrCreate<T>(
        metrics: Map<string, T>,
        name: string,
        create: (options: { name: string; help: string; registers: Registry[]; }) => T,
    ): T {
        let metric = metrics.get(name);
        if (metric === undefined) {
            // docs/METRICS.md lists the names with unit and meaning.
            metric = create({
                name: `${NAME_PREFIX}${name.replaceAll(".", "_")}`,
                help: name,
                registers: [this.registry],
            });
            metrics.set(name, metric);
        }
        return metric;
    }
}
