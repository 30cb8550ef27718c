/** Counters, gauges and timings; docs/METRICS.md lists the names. */
export abstract class Metrics {
    abstract addCount(name: string, by?: number): void;
    abstract setGauge(name: string, value: number): void;
    abstract recordTiming(name: string, ms: number): void;
    abstract close(): void;
}

/** Discards all metrics; for tests and for processes without a metrics address. */
export class NoMetrics extends Metrics {
    override addCount(): void {}
    override setGauge(): void {}
    override recordTiming(): void {}
    override close(): void {}
}
