/** The fields of one log event. Names are the same in all roles; see docs/LOGS.md. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** A structured log with one line of key=value pairs per event. */
export abstract class Log {
    abstract info(event: string, fields?: LogFields): void;
    abstract warn(event: string, fields?: LogFields): void;
    abstract error(event: string, fields?: LogFields): void;
}

/** Discards all events. */
export class NoLog extends Log {
    override info(): void {}
    override warn(): void {}
    override error(): void {}
}
