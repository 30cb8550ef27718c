/** Guards against a connection that counts as idle while its router owns a request, or an answer that is not sent. */
import fc from "fast-check";
import t from "tap";
import { CallerConnection, type CallerExchange, countConnections } from "../../src/domain/callerConnection.js";

const SEED = 20_273;
const RUN_COUNT = 500;
const PREAMBLE_BYTES = 28;

type Step = "bytes" | "head" | "bodyEnd" | "answerStart" | "answerEnd" | "handedOver";

void t.test("a connection is idle only between the last byte of an answer and the first byte of a request", t => {
    const steps = fc.array(fc.constantFrom<Step>("bytes", "head", "bodyEnd", "answerStart", "answerEnd", "handedOver"));
    fc.assert(
        fc.property(steps, steps => {
            const connection = new CallerConnection("r1", PREAMBLE_BYTES);
            let readBytes = PREAMBLE_BYTES;
            let isHeadPending = false;
            let exchange: CallerExchange | undefined;
            let isBodyRead = false;
            for (const step of steps) {
                if (step === "bytes" && (exchange === undefined || !isBodyRead)) {
                    readBytes += 10;
                    isHeadPending ||= exchange === undefined;
                }
                else if (step === "head" && isHeadPending) {
                    exchange = connection.beginExchange("a1", 0);
                    [isHeadPending, isBodyRead] = [false, false];
                }
                else if (exchange !== undefined) {
                    if (step === "bodyEnd") {
                        connection.recordBodyEnd(exchange, readBytes);
                        isBodyRead = true;
                    }
                    else if (step === "answerStart") {
                        exchange.recordAnswerStart();
                    }
                    else if (step === "answerEnd") {
                        exchange.recordAnswerEnd();
                    }
                    else if (step === "handedOver" && isBodyRead) {
                        connection.endExchange(exchange);
                        exchange = undefined;
                    }
                }
                if (connection.isIdle(readBytes) !== (exchange === undefined && !isHeadPending)) {
                    return false;
                }
            }
            return true;
        }),
        { seed: SEED, numRuns: RUN_COUNT },
    );
    t.end();
});

void t.test("connections are counted by what they wait for", t => {
    const create = (act: (connection: CallerConnection, exchange: CallerExchange) => void) => {
        const connection = new CallerConnection(undefined);
        act(connection, connection.beginExchange("a1", 0));
        return { connection, readBytes: 10 };
    };
    const counts = countConnections([
        { connection: new CallerConnection(undefined), readBytes: 0 },
        { connection: new CallerConnection(undefined), readBytes: 10 },
        create(() => undefined),
        create((connection, exchange) => connection.recordBodyEnd(exchange, 10)),
        create((_, exchange) => exchange.recordAnswerStart()),
        create((_, exchange) => exchange.recordAnswerEnd()),
    ]);
    t.same(counts, { connections: 6, idle: 1, heads: 1, bodies: 1, running: 1, answering: 1, unsent: 1 });
    t.end();
});
