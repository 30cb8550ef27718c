/** Guards against requests that are lost, or run again, when the router that serves a relayed connection is lost. */
import t from "tap";
import {
    type NeighbourEnd,
    RelayedExchange,
    RequestRetention,
    resolveLostLink,
} from "../../src/domain/relayedExchange.js";

const REQUEST = Buffer.from("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
const CONFIRMATION = Buffer.from("HTTP/1.1 102 Processing\r\n\r\n");
const ANSWER = Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");

/** Returns what a router knows of an exchange whose serving router was lost. */
function getLoss(exchange: RelayedExchange, end: NeighbourEnd) {
    const bytes = exchange.tryGetRequest();
    return [exchange.getState(), bytes?.toString(), exchange.mayHaveRun(end)];
}

function createExchange(maxBytes = 1_000, maxRequestBytes = 1_000) {
    const retention = new RequestRetention(maxBytes, maxRequestBytes);
    return { retention, exchange: new RelayedExchange(retention) };
}

void t.test("a request without a confirmation has not run if its connection was closed, and may have if it was reset", t => {
    const { exchange } = createExchange();
    t.equal(exchange.getState(), "idle");
    exchange.recordRequest(REQUEST.subarray(0, 10), 5);
    exchange.recordRequest(REQUEST.subarray(10), 6);
    t.equal(exchange.getStartedAt(), 5);
    t.same(getLoss(exchange, "closed"), ["unanswered", REQUEST.toString(), false]);
    t.same(getLoss(exchange, "reset"), ["unanswered", REQUEST.toString(), true]);
    exchange.readAnswer(CONFIRMATION);
    t.same(getLoss(exchange, "closed"), ["unanswered", REQUEST.toString(), true]);
    t.end();
});

void t.test("a request is not run again once its caller has a part of the answer, and the next one stands by itself", t => {
    const { exchange, retention } = createExchange();
    exchange.recordRequest(REQUEST, 0);
    exchange.readAnswer(CONFIRMATION);
    exchange.readAnswer(ANSWER.subarray(0, ANSWER.length - 1));
    t.equal(exchange.getState(), "answering");
    t.equal(retention.getRetainedBytes(), 0);
    exchange.readAnswer(ANSWER.subarray(ANSWER.length - 1));
    t.equal(exchange.getState(), "idle");
    exchange.recordRequest(REQUEST, 7);
    t.same(getLoss(exchange, "closed"), ["unanswered", REQUEST.toString(), false]);
    t.equal(exchange.getStartedAt(), 7);
    t.end();
});

void t.test("nothing is served again of requests that cannot be told apart", t => {
    const both = Buffer.concat([REQUEST, REQUEST]);
    for (
        const play of [
            // Together, and one behind the other before the first answer has ended.
            (exchange: RelayedExchange) => exchange.recordRequest(both, 0),
            (exchange: RelayedExchange) => {
                exchange.recordRequest(REQUEST, 0);
                exchange.recordRequest(REQUEST.subarray(0, 1), 0);
            },
            (exchange: RelayedExchange) => {
                exchange.recordRequest(REQUEST, 0);
                exchange.readAnswer(ANSWER.subarray(0, ANSWER.length - 1));
                exchange.recordRequest(REQUEST, 1);
            },
        ]
    ) {
        const { exchange } = createExchange();
        play(exchange);
        t.equal(exchange.getState(), "unknown");
        exchange.readAnswer(ANSWER);
        t.equal(exchange.getState(), "unknown", "the second request is under way");
    }
    const { exchange } = createExchange();
    exchange.recordRequest(REQUEST, 0);
    exchange.readAnswer(Buffer.from("no answer\r\n\r\n"));
    t.equal(exchange.getState(), "unknown");
    t.end();
});

void t.test("the rest of a body that comes behind the beginning of the answer is no further request", t => {
    const { exchange } = createExchange();
    exchange.recordRequest(REQUEST.subarray(0, REQUEST.length - 1), 0);
    exchange.readAnswer(ANSWER.subarray(0, ANSWER.length - 1));
    exchange.recordRequest(REQUEST.subarray(REQUEST.length - 1), 1);
    exchange.readAnswer(ANSWER.subarray(ANSWER.length - 1));
    t.equal(exchange.getState(), "idle");
    t.end();
});

void t.test("the answer to a HEAD request whose first bytes come apart has no body", t => {
    const { exchange } = createExchange();
    exchange.recordRequest(Buffer.from("HE"), 0);
    exchange.recordRequest(Buffer.from("AD / HTTP/1.1\r\n\r\n"), 0);
    exchange.readAnswer(Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"));
    t.equal(exchange.getState(), "idle");
    t.end();
});

void t.test("retained bytes are bounded, of one request and of all, and are released", t => {
    const { exchange, retention } = createExchange(2 * REQUEST.length, REQUEST.length);
    exchange.recordRequest(REQUEST, 0);
    t.equal(retention.getRetainedBytes(), REQUEST.length);
    exchange.recordRequest(Buffer.from("x"), 0);
    t.equal(exchange.tryGetRequest(), undefined);
    t.equal(retention.getRetainedBytes(), 0, "a request that is not whole is of no use");
    const others = Array.from({ length: 3 }, () => new RelayedExchange(retention));
    others.forEach(other => other.recordRequest(REQUEST, 0));
    t.equal(retention.getRetainedBytes(), 2 * REQUEST.length);
    t.same(getLoss(others[2]!, "closed"), ["unanswered", undefined, false]);
    others.forEach(other => other.release());
    t.equal(retention.getRetainedBytes(), 0);
    t.end();
});

void t.test("without a link, only a request that may be repeated is not waited for, and each wait has an end", t => {
    const { exchange } = createExchange();
    const repeatable = { mayRepeat: true, timeoutMs: 500 };
    const other = { mayRepeat: false, timeoutMs: 500 };
    t.same(resolveLostLink(exchange, undefined, false, 50), { type: "detach" });
    exchange.recordRequest(REQUEST, 7);
    t.same(resolveLostLink(exchange, repeatable, false, 50), { type: "failOver" });
    t.same(
        resolveLostLink(exchange, repeatable, true, 50),
        { type: "wait", until: 507 },
        "it is about to end by itself",
    );
    t.same(resolveLostLink(exchange, other, false, 50), { type: "wait", until: 507 });
    t.same(resolveLostLink(exchange, undefined, false, 50), { type: "wait", until: 10_050 }, "without a route");
    exchange.readAnswer(ANSWER.subarray(0, ANSWER.length - 1));
    t.same(resolveLostLink(exchange, repeatable, false, 50), { type: "wait", until: 10_050 }, "a part of an answer");
    t.end();
});
