/** Splits a server-sent event stream at event boundaries, so that it can be resumed at another upstream. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const ID_PREFIX = "id:";

/** Buffers an incomplete event until the rest of it arrives. */
export class EventSplitter {
    /** Number of complete events received. */
    eventCount = 0;
    /** Id of the last complete event that had one. */
    lastEventId: string | undefined;
    private partialEvent: Buffer = Buffer.alloc(0);

    /** Adds received bytes. Returns the events completed by them, unmodified, or undefined if there are none. */
    add(bytes: Buffer): Buffer | undefined {
        const all = this.partialEvent.length === 0 ? bytes : Buffer.concat([this.partialEvent, bytes]);
        const end = this.consumeEvents(all);
        this.partialEvent = all.subarray(end);
        if (end === 0) {
            return undefined;
        }
        const complete = all.subarray(0, end);
        this.lastEventId = findLastId(complete) ?? this.lastEventId;
        return complete;
    }

    /** Returns the number of buffered bytes, which belong to an incomplete event. */
    getPartialBytes(): number {
        return this.partialEvent.length;
    }

    /** Returns and clears the buffered incomplete event. */
    takePartialEvent(): Buffer {
        const rest = this.partialEvent;
        this.partialEvent = Buffer.alloc(0);
        return rest;
    }

    /** Counts the complete events and returns the offset after the last one. */
    private consumeEvents(all: Buffer): number {
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

/** Returns the value of the last `id` field, or undefined if there is none. */
function findLastId(events: Buffer): string | undefined {
    let at = events.lastIndexOf(ID_PREFIX, undefined, "latin1");
    while (at > 0 && events[at - 1] !== LINE_FEED) {
        at = events.lastIndexOf(ID_PREFIX, at - 1, "latin1");
    }
    if (at < 0) {
        return undefined;
    }
    const start = at + ID_PREFIX.length + (events[at + ID_PREFIX.length] === SPACE ? 1 : 0);
    const lineFeed = events.indexOf(LINE_FEED, start);
    const carriageReturn = events.indexOf(CARRIAGE_RETURN, start);
    const ends = [lineFeed, carriageReturn].filter(end => end >= 0);
    return events.toString("latin1", start, Math.min(events.length, ...ends));
}
