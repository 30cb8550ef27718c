/** Small fakes at the ports. */
import { Clock } from "../../src/ports/clock.js";
import { Journal } from "../../src/ports/journal.js";
import { Log, type LogFields } from "../../src/ports/log.js";

/** A clock that moves only when told. */
export class FakeClock extends Clock {
    private now = 1_000;
    private wallStepMs = 0;

    override getMonotonicMs(): number {
        return this.now;
    }

    override getWallMs(): number {
        return this.now + this.wallStepMs;
    }

    /** Sets the time of day ahead, or back. */
    stepWall(ms: number): void {
        this.wallStepMs += ms;
    }

    /** The box is suspended for a while: its monotonic clock does not count that time, its time of day does. */
    suspend(ms: number): void {
        this.stepWall(ms);
    }

    override wait(): Promise<void> {
        return Promise.resolve();
    }

    advance(ms: number): void {
        this.now += ms;
    }
}

/** Keeps the lines that are warnings. */
export class KeptLog extends Log {
    readonly warnings: LogFields[] = [];

    override info(): void {}

    override warn(event: string, fields: LogFields = {}): void {
        this.warnings.push({ event, ...fields });
    }

    override error(): void {}
}

/** A journal in memory: what is not synced is lost in a crash. */
export class FakeJournal extends Journal {
    private records: unknown[] = [];
    private syncedCount = 0;
    private waiting: (() => void)[] = [];

    /** `autoSync`: every record is synced at once. */
    constructor(private readonly autoSync: boolean) {
        super();
    }

    override append(record: unknown): Promise<void> {
        this.records.push(structuredClone(record));
        if (this.autoSync) {
            this.syncedCount = this.records.length;
            return Promise.resolve();
        }
        return new Promise(resolve => this.waiting.push(resolve));
    }

    override replaceAll(records: readonly unknown[]): Promise<void> {
        this.records = structuredClone([...records]);
        this.syncedCount = this.records.length;
        return Promise.resolve();
    }

    override getSize(): number {
        return this.records.length;
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }

    /** Syncs everything written so far; whoever waits is told. */
    sync(): void {
        this.syncedCount = this.records.length;
        const waiting = this.waiting;
        this.waiting = [];
        waiting.forEach(resolve => resolve());
    }

    /** What a crash leaves. Nobody who waits is ever told. */
    crash(): unknown[] {
        this.records = this.records.slice(0, this.syncedCount);
        this.waiting = [];
        return structuredClone(this.records);
    }
}

/** Lets whatever waits on settled promises go on. */
export async function settlePromises(): Promise<void> {
    for (let i = 0; i < 5; i++) {
        await Promise.resolve();
    }
}
