/** Counters, gauges and timings; names are listed in docs/METRICS.md. */
export abstract class Metrics {
    abstract addCount(name: string, by?: number): void;
    abstract setGauge(name: string, value: number): void;
    abstract recordTiming(name: string, ms: number): void;
    abstract close(): void;
}

/** Drops everything: for tests and for roles with no metrics address set. */
export class NoMetrics extends Metrics {
    override addCount(): void {}
    override setGauge(): void {}
    override recordTiming(): void {}
    override close(): void {}
}
