/** Guards against bodies of requests that together use up a router's memory, and against memory that is not given back. */
import t from "tap";
import { BodyMemory, checkBodyMemoryOptions } from "../../src/domain/bodyMemory.js";
import { getRefusal } from "../../src/domain/resultCodes.js";

const MAX_BYTES = 1_000_000;
const MAX_UPSTREAM_BYTES = 250_000;
const BODY_BYTES = 100_000;
const STALLED_MS = 2_001;

function createMemory(): BodyMemory {
    return new BodyMemory({ maxBytes: MAX_BYTES, maxUpstreamBytes: MAX_UPSTREAM_BYTES }, () => 0.5);
}

void t.test("many callers with large bodies: who exceeds the bound is refused, and the next is admitted after a release", t => {
    const memory = createMemory();
    const reservations = Array.from({ length: 30 }, () => memory.tryReserve(BODY_BYTES, 0, () => undefined));
    const admitted = reservations.flatMap(reservation => reservation ?? []);
    t.equal(admitted.length, MAX_BYTES / BODY_BYTES);
    t.equal(memory.getHeldBytes(), MAX_BYTES);
    t.match(memory.createRefusal(), { code: "bodyMemoryFull", ran: "no", retryAfterMs: 750 });
    t.ok(memory.tryReserve(0, 0, () => undefined), "a request without a body needs no memory");
    admitted.forEach(reservation => reservation.finish());
    admitted[0]!.release();
    admitted[0]!.release();
    t.equal(memory.getHeldBytes(), MAX_BYTES - BODY_BYTES, "given back once");
    t.ok(memory.tryReserve(BODY_BYTES, 0, () => undefined));
    t.equal(memory.tryReserve(1, 0, () => undefined), undefined);
    t.end();
});

void t.test("a large body is not refused where a small one is admitted", t => {
    const memory = createMemory();
    memory.tryReserve(MAX_BYTES - 1, 0, () => undefined);
    t.ok(memory.tryReserve(BODY_BYTES, 0, () => undefined));
    t.equal(memory.tryReserve(1, 0, () => undefined), undefined);
    t.end();
});

void t.test("bodies without a declared length are counted as they arrive", t => {
    const memory = createMemory();
    const [first, second] = [0, 0].map(bytes => memory.tryReserve(bytes, 0, () => undefined)!);
    t.ok(first!.tryRecordHeld(MAX_BYTES - 10, 0));
    t.ok(second!.tryRecordHeld(20, 0));
    t.equal(second!.tryRecordHeld(30, 0), false);
    second!.release();
    t.equal(memory.getHeldBytes(), MAX_BYTES - 10);
    t.end();
});

void t.test("a caller that stalls in its body gives way once memory is short, a slow one and a complete body do not", t => {
    const memory = createMemory();
    const evicted: string[] = [];
    const reserve = (name: string) => memory.tryReserve(MAX_BYTES / 4, 0, () => evicted.push(name))!;
    const [, slow, complete, last] = ["stalled", "slow", "complete", "last"].map(reserve);
    complete!.finish();
    last!.finish();
    slow!.tryRecordHeld(1, STALLED_MS - 1);
    t.equal(memory.tryReserve(1, STALLED_MS - 1, () => undefined), undefined);
    t.ok(memory.tryReserve(1, STALLED_MS, () => undefined));
    t.same(evicted, ["stalled"]);
    t.equal(memory.getHeldBytes(), MAX_BYTES * 3 / 4 + 1);
    t.end();
});

void t.test("an upstream that does not read gets no more requests, others do", t => {
    const memory = createMemory();
    const ends = [0, 1, 2].map(() => memory.recordWaiting("u", BODY_BYTES));
    t.equal(memory.allowsUpstream("u"), false);
    t.equal(memory.allowsUpstream("v"), true);
    ends[0]!();
    ends[0]!();
    t.equal(memory.allowsUpstream("u"), true);
    t.end();
});

void t.test("invalid settings are refused with the name of the setting and the bound", t => {
    const getDetail = (maxBytes: number, maxUpstreamBytes: number): string => {
        try {
            checkBodyMemoryOptions({ maxBytes, maxUpstreamBytes });
            return "";
        }
        catch (error) {
            const { code, detail } = getRefusal(error);
            return `${code} ${detail}`;
        }
    };
    t.match(getDetail(10, 1), /^settingsInvalid bodyMemory\.maxBytes: .*1000000/);
    t.equal(
        getDetail(MAX_BYTES, MAX_BYTES + 1),
        "settingsInvalid bodyMemory.maxUpstreamBytes: must not exceed maxBytes",
    );
    t.equal(getDetail(MAX_BYTES, MAX_UPSTREAM_BYTES), "");
    t.end();
});
