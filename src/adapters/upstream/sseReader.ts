/** Reads server-sent events off a byte stream: the data lines of as many whole events as each read brings. */

/** Longest event taken, in characters. */
const MAX_EVENT_LENGTH = 1024 * 1024;

/** Yields the data of the events that each read completes. */
export async function* readServerSentEvents(body: AsyncIterable<Buffer>): AsyncGenerator<string[]> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const bytes of body) {
        rest += decoder.decode(bytes, { stream: true });
        const events: string[] = [];
        let end = rest.indexOf("\n\n");
        while (end >= 0) {
            const data = getEventData(rest.slice(0, end));
            if (data !== undefined) {
                events.push(data);
            }
            rest = rest.slice(end + 2);
            end = rest.indexOf("\n\n");
        }
        if (rest.length > MAX_EVENT_LENGTH) {
            throw new Error("server-sent event too long");
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
