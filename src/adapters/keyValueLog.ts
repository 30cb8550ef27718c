/** Logs through bunyan, with one line of key=value pairs per event. */
import bunyan from "bunyan";
import { Log, type LogFields } from "../ports/log.js";
import { BoundedOutput } from "./boundedOutput.js";

/** Fields that identify the process in every event. */
export interface LogIdentity {
    readonly role: string;
    readonly name: string;
    readonly zone: string;
}

const NON_EVENT_KEYS = new Set(["v", "level", "time", "msg", "pid", "hostname", "name", "role", "zone"]);

export type LogOutput = Pick<BoundedOutput, "writeLine">;

const STDOUT_FD = 1;

/** Writes bunyan's records as key=value lines. */
class KeyValueStream {
    constructor(private readonly out: LogOutput) {}

    write(record: Record<string, unknown>): void {
        const time = (record["time"] as Date).toISOString();
        const level = bunyan.nameFromLevel[record["level"] as number];
        const identity = `role=${String(record["role"])} name=${String(record["name"])} zone=${String(record["zone"])}`;
        let line = `time=${time} level=${level} ${identity} event=${formatValue(record["msg"])}`;
        for (const key in record) {
            const value = record[key];
            if (value !== undefined && !NON_EVENT_KEYS.has(key)) {
                line += ` ${key}=${formatValue(value)}`;
            }
        }
        this.out.writeLine(`${line}\n`, level === "info");
    }
}

/** Quotes a value that is empty or contains whitespace, `=` or a double quote. */
export function formatValue(value: unknown): string {
    if (typeof value === "number") {
        return String(value);
    }
    const text = String(value);
    return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

export class KeyValueLog extends Log {
    private readonly logger: bunyan;

    constructor(
        identity: LogIdentity,
        level: "info" | "warn" | "error",
        out: LogOutput = new BoundedOutput(STDOUT_FD),
    ) {
        super();
        this.logger = bunyan.createLogger({
            ...identity,
            streams: [{ level, type: "raw", stream: new KeyValueStream(out) as unknown as NodeJS.WritableStream }],
        });
    }

    override info(event: string, fields: LogFields = {}): void {
        this.logger.info(fields, event);
    }
    override warn(event: string, fields: LogFields = {}): void {
        this.logger.warn(fields, event);
    }
    override error(event: string, fields: LogFields = {}): void {
        this.logger.error(fields, event);
    }
}
