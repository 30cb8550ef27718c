/** A resumed stream repeats or misses events if the id of the last complete event is wrong. */
import t from "tap";
import { EventSplitter } from "../../src/domain/eventSplitter.js";

void t.test("the id of the last complete event that has one", t => {
    const samples: [string, string | undefined][] = [
        ["data: a\n\n", undefined],
        ["id: 1\ndata: a\n\n", "1"],
        ["id:2\ndata: a\n\nid: 3\ndata: b\n\n", "3"],
        ["id: 4\ndata: a\n\ndata: id: 9\n\n", "4"],
        ["data: a\nid: 5\n\n", "5"],
        ["id: 6\r\ndata: a\r\n\r\n", "6"],
        ["data: a\r\nid: 7\r\n\r\n", "7"],
        ["id:\ndata: a\n\n", ""],
        ["id: 8\ndata: a\n\nid: 9\ndata: incomplete\n", "8"],
        ["data: id:\n\n", undefined],
        ["id: \u00e4 b\n\n", "\u00e4 b"],
    ];
    for (const [text, expected] of samples) {
        const splitter = new EventSplitter();
        splitter.add(Buffer.from(text, "latin1"));
        t.equal(splitter.lastEventId, expected, JSON.stringify(text));
    }
    t.end();
});

void t.test("events without an id keep the previous one, however the bytes are divided", t => {
    const text = "id: 1\ndata: a\n\nid: 22\ndata: b\n\ndata: c\n\n";
    for (let size = 1; size <= text.length; size++) {
        const splitter = new EventSplitter();
        for (let at = 0; at < text.length; at += size) {
            splitter.add(Buffer.from(text.slice(at, at + size)));
        }
        t.same([splitter.eventCount, splitter.lastEventId], [3, "22"], `pieces of ${size}`);
    }
    t.end();
});
