/** Parsing of the state that engines report in response headers, including invalid values. */
import t from "tap";
import { decodeSignals } from "../../platform/engineSignals.js";

const NOW = Date.parse("2026-03-10T11:00:00Z");

function decode(status: number, headers: Record<string, string>) {
    return decodeSignals(status, new Map(Object.entries(headers)), NOW);
}

void t.test("a response without signals", t => {
    const noSignals = { limitPerSecond: undefined, isLeaving: false, backoffMs: undefined, unparsed: [] };
    t.same(decode(200, {}), noSignals);
    t.same(decode(200, { "retry-after": "3" }), noSignals, "Retry-After is ignored unless the request was rejected");
    t.end();
});

void t.test("the rate limit is a decimal number", t => {
    t.equal(decode(200, { "server-limit": "1" }).limitPerSecond, 1);
    t.equal(decode(503, { "server-limit": " 0.25 " }).limitPerSecond, 0.25);
    t.equal(decode(200, { "server-limit": "0" }).limitPerSecond, 0);
    for (const value of ["", "-1", "many", "1e3", "1,2", "99999999999", "9999999", "NaN"]) {
        const signals = decode(200, { "server-limit": value });
        t.equal(signals.limitPerSecond, undefined, value);
        t.same(signals.unparsed, [`server-limit=${value}`]);
    }
    t.end();
});

void t.test("the value 1 announces a shutdown", t => {
    t.equal(decode(200, { "server-leaving": "1" }).isLeaving, true);
    t.equal(decode(200, { "server-leaving": "0" }).isLeaving, false);
    t.same(decode(200, { "server-leaving": "soon" }).unparsed, ["server-leaving=soon"]);
    t.end();
});

void t.test("Retry-After is a number of seconds or a date", t => {
    t.equal(decode(503, { "retry-after": "3" }).backoffMs, 3_000);
    t.equal(decode(503, { "retry-after": "0.5" }).backoffMs, 500);
    t.equal(decode(429, { "retry-after": "Tue, 10 Mar 2026 11:00:07 GMT" }).backoffMs, 7_000);
    t.equal(decode(429, { "retry-after": "Tue, 10 Mar 2026 10:00:00 GMT" }).backoffMs, 0);
    for (const value of ["-3", "later", "", "1/2"]) {
        t.equal(decode(503, { "retry-after": value }).backoffMs, undefined, value);
        t.same(decode(503, { "retry-after": value }).unparsed, [`retry-after=${value}`]);
    }
    t.end();
});
