/** Guards against messages whose end is missed or seen too early, and against confirmations that reach callers. */
import * as fc from "fast-check";
import t from "tap";
import { AnswerFraming, RequestFraming } from "../../src/domain/messageFraming.js";

const CONFIRMATION = "HTTP/1.1 102 Processing\r\n\r\n";
const CHUNKED =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0a\r\n0123456789\r\n0\r\nT: 1\r\n\r\n";
const LENGTH = "HTTP/1.1 200 OK\r\ncontent-length:3\r\n\r\nabc";
const EMPTY = "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n";
const CONTINUED = "HTTP/1.1 100 Continue\r\n\r\n";

interface Read {
    readonly text: string;
    readonly ends: number;
    readonly framing: AnswerFraming;
}

/** Reads the parts one by one. */
function read(parts: readonly string[], isHead = false): Read {
    let ends = 0;
    const framing = new AnswerFraming(() => isHead, () => ends += 1);
    const text = parts.map(part => framing.read(Buffer.from(part)).toString()).join("");
    return { text, ends, framing };
}

/** Splits a text at the given places. */
function splitAt(text: string, places: readonly number[]): string[] {
    const cuts = [0, ...places.map(place => place % (text.length + 1)).sort((a, b) => a - b), text.length];
    return cuts.slice(1).map((cut, i) => text.slice(cuts[i]!, cut));
}

void t.test("answers end where they do, and confirmations are left out, at every split", t => {
    const answers = [CHUNKED, LENGTH, EMPTY, CONTINUED + LENGTH];
    fc.assert(fc.property(
        fc.array(fc.nat(answers.length - 1), { minLength: 1, maxLength: 4 }),
        fc.array(fc.nat(), { maxLength: 12 }),
        fc.boolean(),
        (chosen, places, isConfirmed) => {
            const expected = chosen.map(i => answers[i]!).join("");
            const sent = chosen.map(i => (isConfirmed ? CONFIRMATION : "") + answers[i]!).join("");
            const { text, ends, framing } = read(splitAt(sent, places));
            return text === expected && ends === chosen.length && !framing.isInMessage() && framing.isKnown()
                && !framing.mayHaveBeenSent();
        },
    ));
    t.end();
});

void t.test("an answer is under way from its head until its last byte", t => {
    for (const answer of [CHUNKED, LENGTH]) {
        const headBytes = answer.indexOf("\r\n\r\n") + 4;
        for (let bytes = headBytes; bytes < answer.length; bytes++) {
            const { framing, ends } = read([answer.slice(0, bytes)]);
            t.equal(framing.isInMessage(), true, `${bytes} bytes of ${answer.length}`);
            t.equal(ends, 0);
        }
        t.equal(
            read([answer.slice(0, headBytes - 1)]).framing.isInMessage(),
            false,
            "the head is held back until it is whole",
        );
    }
    t.end();
});

void t.test("a request may have been sent from its confirmation on, or from a part of what may be one", t => {
    t.equal(read([]).framing.mayHaveBeenSent(), false);
    t.equal(read([CONTINUED]).framing.mayHaveBeenSent(), false);
    t.equal(read([CONFIRMATION]).framing.mayHaveBeenSent(), true);
    t.equal(read([CONFIRMATION.slice(0, 5)]).framing.mayHaveBeenSent(), true);
    t.equal(read([CONFIRMATION + LENGTH]).framing.mayHaveBeenSent(), false, "the next request");
    t.end();
});

void t.test("the answer to HEAD has no body, and one without a length ends with its connection", t => {
    const head = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    t.equal(read([head], true).ends, 1);
    const unframed = read(["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"]);
    t.equal(unframed.framing.isUnframed(), true);
    t.equal(unframed.ends, 0);
    t.equal(
        unframed.text,
        "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
        "a body may look like a confirmation",
    );
    t.end();
});

void t.test("bytes that cannot be followed pass through unchanged, and are known not to be followed", t => {
    const chunkHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (
        const text of [
            "nonsense\r\n\r\n" + LENGTH,
            "HTTP/1.1 101 Switching\r\n\r\nanything",
            `${chunkHead}zz\r\nabc`,
            `${chunkHead}${"1".repeat(9_000)}`,
            `HTTP/1.1 200 OK\r\n${"x".repeat(70_000)}`,
        ]
    ) {
        const whole = read([text, "more"]);
        t.equal(whole.framing.isKnown(), false);
        t.equal(whole.text, `${text}more`);
    }
    t.end();
});

void t.test("requests are counted from their first byte, at every split, and their heads are known", t => {
    const requests = [
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
        "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        "\r\nHEAD /c HTTP/1.1\r\nHost: h\r\n\r\n",
        "PUT /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    ];
    fc.assert(fc.property(
        fc.array(fc.nat(requests.length - 1), { minLength: 1, maxLength: 4 }),
        fc.array(fc.nat(), { maxLength: 12 }),
        (chosen, places) => {
            let begun = 0;
            const framing = new RequestFraming(() => begun += 1);
            splitAt(chosen.map(i => requests[i]!).join(""), places).forEach(part => framing.read(Buffer.from(part)));
            const last = requests[chosen.at(-1)!]!.trimStart();
            return begun === chosen.length && !framing.isInMessage() && framing.isKnown()
                && last.startsWith(framing.tryGetHead()!);
        },
    ));
    let begun = 0;
    const framing = new RequestFraming(() => begun += 1);
    framing.read(Buffer.from("\r\n"));
    t.equal(begun, 0, "line ends are no request");
    framing.read(Buffer.from("P"));
    t.equal(begun, 1);
    t.equal(framing.tryGetHead(), undefined);
    t.end();
});
