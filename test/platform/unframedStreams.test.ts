/**
 * Answers of upstreams without a length or chunks end with their connection; a stream that ends so inside an event is not complete,
 * and neither is an answer whose router ends.
 */
import { type IncomingMessage, request, type ServerResponse } from "node:http";
import t from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 117;
const STREAMS = 8;
const EVENTS = 5;
const BROKEN_AFTER_EVENTS = 2;
/** Longer than the beginning of an answer takes to reach its caller. */
const ANSWER_MS = 100;
const PLAIN_BODY = "{\"answer\":1}";
const fleet = new DirectFleet(NETWORK);
let lastId = 0;

interface Answer {
    readonly text: string;
    readonly isComplete: boolean;
}

function createEvent(id: number): string {
    return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Breaks the answer off inside an event unless it resumes another one. */
function serve(message: IncomingMessage, response: ServerResponse): void {
    const resumedAfter = message.headers["last-event-id"];
    const isStream = /\/s\/(?!plain)/.test(message.url!);
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, {
        "Attempt-Id": message.headers["attempt-id"],
        "Instance-Signature": "sig",
        "Content-Type": isStream ? "text/event-stream" : "application/json",
    });
    if (message.url!.endsWith("/open")) {
        response.write(isStream ? createEvent(1) : PLAIN_BODY.slice(0, 5));
        return;
    }
    const isBroken = /cut|reset/.test(message.url!) && resumedAfter === undefined;
    for (let id = Number(resumedAfter ?? 0) + 1; isStream && id <= (isBroken ? BROKEN_AFTER_EVENTS : EVENTS); id++) {
        response.write(createEvent(id));
    }
    if (!isBroken) {
        response.end(isStream ? undefined : PLAIN_BODY);
        return;
    }
    response.write("id: 3\ndata: pie");
    setTimeout(() => message.url === "/s/cut" ? response.end() : message.socket.resetAndDestroy(), 5);
}

/**
 * Uses `node:http`, since undici takes a reset for the end of an answer without framing. `onBody`: called when the body begins.
 */
function callRouter(path: string, onBody = (): void => undefined): Promise<Answer> {
    lastId += 1;
    const headers = {
        "Host": "api.example",
        "Attempt-Id": `a${lastId}`,
        "Credential": "key-1",
        "Deadline-Ms": "3000",
        "Token-Usage": "10,5",
    };
    return new Promise(resolve => {
        let text = "";
        const call = request(fleet.getCallerUrl("r1", path), { method: "POST", headers }, answer => {
            answer.once("data", onBody);
            answer.on("data", (bytes: Buffer) => text += bytes.toString());
            answer.on("end", () => resolve({ text, isComplete: true }));
            answer.on("error", () => resolve({ text, isComplete: false }));
        });
        call.on("error", () => resolve({ text, isComplete: false }));
        call.end("{}");
    });
}

async function callRepeatedly(path: string): Promise<Answer[]> {
    const answers: Answer[] = [];
    for (let i = 0; i < STREAMS; i++) {
        answers.push(await callRouter(path));
    }
    return answers;
}

void t.test("answers that end with their connection", async t => {
    const wholeStream = Array.from({ length: EVENTS }, (_, i) => createEvent(i + 1)).join("");
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1");
    await fleet.putBundle("c1", createWireBundle(1));
    for (const i of [1, 2, 3]) {
        const address = await fleet.startEngine(`r1${i}`, serve);
        const registration = { backend: "engines", address, zone: "z", slots: 16, state: "ready", cold_left_ms: 0 };
        await fleet.startReporting("c1", `e${i}`, { ...registration, born: 1 });
    }
    const plainAddress = await fleet.startEngine("r14", serve);
    const plain = { backend: "plain", address: plainAddress, zone: "z", slots: 16, state: "ready", cold_left_ms: 0 };
    await fleet.startReporting("c1", "p1", { ...plain, born: 1 });
    const { registry } = fleet.routers.get("r1")!.role.daemon;
    await waitUntil("upstreams known", () => registry.getReady("engines", performance.now(), Infinity).length === 3);

    await t.test("reach the caller whole if they are", async t => {
        t.ok((await callRepeatedly("/s/whole")).every(({ text, isComplete }) => isComplete && text === wholeStream));
        t.ok((await callRepeatedly("/s/plain")).every(({ text, isComplete }) => isComplete && text === PLAIN_BODY));
    });

    await t.test("do not look complete if their router is killed", async t => {
        const { server } = fleet.routers.get("r1")!;
        const stream = callRouter("/s/open", () => server.closeAllConnections());
        t.notOk((await stream).isComplete);
        const plain = callRouter("/c/open");
        await waitUntil("the answer", () => fleet.engineRequests.some(({ url }) => url === "/c/open"));
        await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
        server.closeAllConnections();
        t.notOk((await plain).isComplete);
    });

    for (const path of ["/s/cut", "/s/reset"]) {
        await t.test(`go on at another upstream if they are broken off inside an event: ${path}`, async t => {
            const answers: Answer[] = [];
            for (let i = 0; i < STREAMS; i++) {
                // The retry budget grows with the requests.
                await callRepeatedly("/s/whole");
                answers.push(await callRouter(path));
            }
            const wholeCount = answers.filter(({ text, isComplete }) => isComplete && text === wholeStream).length;
            t.equal(wholeCount, STREAMS, `${wholeCount} of ${STREAMS} streams are whole`);
            t.notOk(answers.some(({ text, isComplete }) => isComplete && text !== wholeStream), "none looks complete");
        });
    }
});
