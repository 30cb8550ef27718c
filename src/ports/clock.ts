import { readFileSync } from "node:fs";
/** Time as the decisions see it. Tests put a clock of their own here. */
export abstract class Clock {
    /** Milliseconds on a clock that never steps; only differences mean anything. */
    abstract getMonotonicMs(): number;
    /** Milliseconds since 1970, for people to read; no decision hangs on it. */
    abstract getWallMs(): number;
    /** Resolves after `ms` milliseconds. */
    abstract wait(ms: number): Promise<void>;
}

/** The machine's clocks. */
export class SystemClock extends Clock {
    override getMonotonicMs(): number {
        return performance.now();
    }
    override getWallMs(): number {
        return Date.now();
    }
    override wait(ms: number): Promise<void> {
        return new Promise(resolve => {
            setTimeout(resolve, ms);
        });
    }
}

/** A clock that runs on while no process of ours does. */
export abstract class SteadyClock {
    /** Another one where the box has started anew, and the clock with it. */
    abstract readonly boot: string;
    /** Milliseconds since the box started. */
    abstract getMs(): number;
}

const BOOT_ID_FILE = "/proc/sys/kernel/random/boot_id";

/** The box's own. */
export class BoxClock extends SteadyClock {
    override readonly boot = readBootId();

    override getMs(): number {
        return Number(process.hrtime.bigint() / 1_000_000n);
    }
}

/** Where the kernel does not tell, every start of a process counts as one of the box: safe, and less is known. */
function readBootId(): string {
    try {
        return readFileSync(BOOT_ID_FILE, "utf8").trim();
    }
    catch {
        return `process-${process.pid}-${process.hrtime.bigint()}`;
    }
}
