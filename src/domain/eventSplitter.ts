/** Splits the bytes of an event stream into whole events, so that a stream can go on elsewhere after a break. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/g;

/** Holds back what follows the last whole event until the rest of it comes. */
export class EventSplitter {
    /** How many whole events have come. */
    eventCount = 0;
    /** Id of the last whole event that had one. */
    lastEventId: string | undefined;
    private rest: Buffer = Buffer.alloc(0);

    /** Takes bytes; answers the whole events that are complete now, byte for byte, or undefined where there are none. */
    add(bytes: Buffer): Buffer | undefined {
        const all = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
        const end = this.findLastEnd(all);
        this.rest = all.subarray(end);
        if (end === 0) {
            return undefined;
        }
        const whole = all.subarray(0, end);
        for (const match of whole.toString("latin1").matchAll(ID_FIELD)) {
            this.lastEventId = match[1];
        }
        return whole;
    }

    /** Whatever follows the last whole event. */
    takeRest(): Buffer {
        const rest = this.rest;
        this.rest = Buffer.alloc(0);
        return rest;
    }

    /** Counts the blank lines that end events; answers where the last one ends. */
    private findLastEnd(all: Buffer): number {
        let end = 0;
        let at = all.indexOf(LINE_FEED);
        while (at >= 0) {
            const next = all[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
            if (all[next] === LINE_FEED) {
                end = next + 1;
                this.eventCount += 1;
                at = all.indexOf(LINE_FEED, end);
            }
            else {
                at = all.indexOf(LINE_FEED, at + 1);
            }
        }
        return end;
    }
}
