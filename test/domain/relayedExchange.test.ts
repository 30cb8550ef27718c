/** Guards against requests that are lost, or run again, when the router that serves a relayed connection is lost. */
import t from "tap";
import { RelayedExchange, RequestRetention } from "../../src/domain/relayedExchange.js";

const REQUEST = Buffer.from("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
const CONFIRMATION = Buffer.from("HTTP/1.1 102 Processing\r\n\r\n");
const ANSWER = Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");

function createExchange(maxBytes = 1_000, maxRequestBytes = 1_000) {
    const retention = new RequestRetention(maxBytes, maxRequestBytes);
    return { retention, exchange: new RelayedExchange(retention) };
}

void t.test("a request without a confirmation has not run if its connection was closed, and may have if it was reset", t => {
    const { exchange } = createExchange();
    t.same(exchange.resolveLoss("closed"), { type: "idle" });
    exchange.recordRequest(REQUEST.subarray(0, 10), 5);
    exchange.recordRequest(REQUEST.subarray(10), 6);
    t.equal(exchange.getStartedAt(), 5);
    t.same(exchange.resolveLoss("closed"), { type: "unanswered", bytes: REQUEST, mayHaveRun: false });
    t.same(exchange.resolveLoss("reset"), { type: "unanswered", bytes: REQUEST, mayHaveRun: true });
    exchange.readAnswer(CONFIRMATION);
    t.same(exchange.resolveLoss("closed"), { type: "unanswered", bytes: REQUEST, mayHaveRun: true });
    t.end();
});

void t.test("a request is not run again once its caller has a part of the answer, and the next one stands by itself", t => {
    const { exchange, retention } = createExchange();
    exchange.recordRequest(REQUEST, 0);
    exchange.readAnswer(CONFIRMATION);
    exchange.readAnswer(ANSWER.subarray(0, ANSWER.length - 1));
    t.same(exchange.resolveLoss("closed"), { type: "answering", isUnframed: false });
    t.equal(retention.getRetainedBytes(), 0);
    exchange.readAnswer(ANSWER.subarray(ANSWER.length - 1));
    t.same(exchange.resolveLoss("closed"), { type: "idle" });
    exchange.recordRequest(REQUEST, 7);
    t.same(exchange.resolveLoss("closed"), { type: "unanswered", bytes: REQUEST, mayHaveRun: false });
    t.end();
});

void t.test("nothing is served again of requests that cannot be told apart", t => {
    const { exchange } = createExchange();
    exchange.recordRequest(REQUEST, 0);
    exchange.readAnswer(ANSWER.subarray(0, 20));
    exchange.readAnswer(ANSWER.subarray(20, ANSWER.length - 1));
    exchange.recordRequest(REQUEST, 1);
    exchange.readAnswer(ANSWER.subarray(ANSWER.length - 1));
    t.same(exchange.resolveLoss("closed"), { type: "unknown" });
    const other = createExchange().exchange;
    other.recordRequest(REQUEST, 0);
    other.readAnswer(Buffer.from("no answer\r\n\r\n"));
    t.same(other.resolveLoss("closed"), { type: "unknown" });
    t.end();
});

void t.test("retained bytes are bounded, of one request and of all, and are released", t => {
    const { exchange, retention } = createExchange(2 * REQUEST.length, REQUEST.length);
    exchange.recordRequest(REQUEST, 0);
    t.equal(retention.getRetainedBytes(), REQUEST.length);
    exchange.recordRequest(Buffer.from("x"), 0);
    t.same(exchange.resolveLoss("closed"), { type: "unanswered", bytes: undefined, mayHaveRun: false });
    t.equal(retention.getRetainedBytes(), 0, "a request that is not whole is of no use");
    const others = Array.from({ length: 3 }, () => new RelayedExchange(retention));
    others.forEach(other => other.recordRequest(REQUEST, 0));
    t.equal(retention.getRetainedBytes(), 2 * REQUEST.length);
    t.match(others[2]!.resolveLoss("closed"), { bytes: undefined });
    others.forEach(other => other.release());
    t.equal(retention.getRetainedBytes(), 0);
    t.end();
});
