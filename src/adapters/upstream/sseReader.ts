/** Parses server-sent events from a byte stream. */

/** Limit on the length of an event, in characters. */
const MAX_EVENT_LENGTH = 1024 * 1024;

/** Yields, for each read, the data of the events that it completes. */
export async function* readServerSentEvents(body: AsyncIterable<Buffer>): AsyncGenerator<string[]> {
    const decoder = new TextDecoder();
    let pending = "";
    for await (const bytes of body) {
        pending += decoder.decode(bytes, { stream: true });
        const events: string[] = [];
        let end = pending.indexOf("\n\n");
        while (end >= 0) {
            const data = getEventData(pending.slice(0, end));
            if (data !== undefined) {
                events.push(data);
            }
            pending = pending.slice(end + 2);
            end = pending.indexOf("\n\n");
        }
        if (pending.length > MAX_EVENT_LENGTH) {
            throw new Error("server-sent event exceeds the length limit");
        }
        if (events.length > 0) {
            yield events;
        }
    }
}

function getEventData(event: string): string | undefined {
    if (event.startsWith("data: ") && !event.includes("\n")) {
        return event.slice("data: ".length);
    }
    const lines = event.split(/\r?\n/).filter(line => line.startsWith("data:"));
    return lines.length === 0 ? undefined : lines.map(line => line.slice("data:".length).trimStart()).join("\n");
}
