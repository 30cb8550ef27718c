/** The engine client against a small engine that frames, cuts, resets and mixes up its answers. */
import { createServer, type Server, type Socket } from "node:net";
import t from "tap";
import { EngineClient } from "../../platform/engineClient.js";
import type { UpstreamCall, UpstreamFailure, UpstreamHead, UpstreamListener } from "../../src/ports/directUpstream.js";

/** What came of one exchange. */
interface Outcome {
    readonly heads: UpstreamHead[];
    readonly body: string;
    readonly end: "whole" | UpstreamFailure;
}

const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nInstance-Signature: s\r\n";

/** An engine that answers each request by `answer`; resolves to its address. */
async function startEngine(
    answer: (socket: Socket, text: string) => void,
): Promise<{ address: string; server: Server; }> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", bytes => answer(socket, bytes.toString("latin1")));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    return { address: `127.0.0.1:${port}`, server };
}

function createCall(address: string, part: Partial<UpstreamCall> = {}): UpstreamCall {
    return {
        upstream: { id: "u1", service: "s", address, zone: "z", slots: 4, state: "ready", sequence: 1 },
        request: {
            id: "a1",
            method: "POST",
            target: "/p/x?q=1",
            headers: ["Attempt-Id", "a1"],
            body: Buffer.from("b"),
        },
        account: "acc",
        remainingMs: 1_000,
        priority: 2,
        resumeAfter: undefined,
        maxConnections: 1,
        mayStart: () => true,
        ...part,
    };
}

function exchange(client: EngineClient, call: UpstreamCall): Promise<Outcome> {
    return new Promise(resolve => {
        const heads: UpstreamHead[] = [];
        let body = "";
        const listener: UpstreamListener = {
            onStart: () => undefined,
            onHead: head => {
                heads.push(head);
                return true;
            },
            onData: bytes => {
                body += bytes.toString("latin1");
                return true;
            },
            onEnd: () => resolve({ heads, body, end: "whole" }),
            onFailure: failure => resolve({ heads, body, end: failure }),
        };
        client.send(call, listener);
    });
}

async function withEngine(
    answer: (socket: Socket, text: string) => void,
    use: (client: EngineClient, address: string) => Promise<void>,
): Promise<void> {
    const { address, server } = await startEngine(answer);
    const client = new EngineClient();
    await use(client, address);
    client.close();
    server.close();
}

void t.test("an answer without a length that is reset is not whole; one that ends is", async t => {
    await withEngine(
        (socket, text) => {
            socket.write(`${HEAD}Connection: close\r\n\r\npart`);
            setTimeout(() => text.includes("/reset") ? socket.resetAndDestroy() : socket.end(), 30);
        },
        async (client, address) => {
            const call = createCall(address);
            const reset = await exchange(client, { ...call, request: { ...call.request, target: "/reset" } });
            t.not(reset.end, "whole");
            const ended = await exchange(client, call);
            t.equal(ended.end, "whole");
            t.equal(ended.body, "part");
        },
    );
});

void t.test("an answer without a length on a connection that is not said to close is no less reset", async t => {
    await withEngine(
        socket => {
            socket.write(`${HEAD}\r\npart`);
            setTimeout(() => socket.resetAndDestroy(), 30);
        },
        async (client, address) => {
            t.not((await exchange(client, createCall(address))).end, "whole");
        },
    );
});

void t.test("an answer that is cut short of its length is not whole", async t => {
    await withEngine(
        socket => socket.end(`${HEAD}Content-Length: 10\r\n\r\npart`),
        async (client, address) => {
            t.match((await exchange(client, createCall(address))).end, { wasSent: true });
        },
    );
});

void t.test("what the engine is sent, and how its head is read", async t => {
    let sent = "";
    await withEngine(
        (socket, text) => {
            sent += text;
            socket.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        },
        async (client, address) => {
            const outcome = await exchange(client, createCall(address, { resumeAfter: "7" }));
            t.match(outcome.heads, [{ status: 503, isNotRun: true, isOwn: true, isSigned: false }]);
            t.match(sent, /^POST \/p\/x\?q=1 HTTP\/1\.1\r\n/);
            t.match(sent, /Expect-Instance: u1\r\n/i);
            t.match(sent, /Tenant: acc\r\n/i);
            t.match(sent, /Deadline-Ms: 1000\r\n/i);
            t.match(sent, /Last-Event-Id: 7\r\n/i);
        },
    );
});

/** The head that an engine is sent of a request with these headers of its caller's. */
async function readSentHead(headers: readonly string[]): Promise<string> {
    let sent = "";
    await withEngine(
        (socket, text) => {
            sent += text;
            socket.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        },
        async (client, address) => {
            const call = createCall(address);
            await exchange(client, { ...call, request: { ...call.request, headers } });
        },
    );
    return sent;
}

/** The values of a header in the head of a message. */
function getValues(head: string, name: string): string[] {
    return [...head.matchAll(new RegExp(`^${name}: (.*)\r$`, "gim"))].map(match => match[1]!);
}

/** What the router sets itself in these tests; the other names have no value of its own. */
const OWN_VALUES = new Map([["deadline-ms", "1000"], ["expect-instance", "u1"], ["tenant", "acc"], [
    "request-priority",
    "2",
]]);
const STEERING_NAMES = [
    "Deadline-Ms",
    "Expect-Instance",
    "Expect-Version",
    "Request-Priority",
    "Tenant",
    "Credential",
    "Hold",
    "Pin-Ms",
    "Kv-Fetch",
    "Kv-From",
    "Kv-Backup",
];

for (const name of STEERING_NAMES) {
    void t.test(`a caller does not steer an engine by ${name}`, async t => {
        const own = OWN_VALUES.get(name.toLowerCase());
        const expected = own === undefined ? [] : [own];
        const spellings = [
            [name, "5"],
            [name.toUpperCase(), "5"],
            [name.toLowerCase(), "5", name, "6"],
            ["Connection", name, name, "5"],
        ];
        for (const headers of spellings) {
            const head = await readSentHead(["Attempt-Id", "a1", ...headers]);
            t.same(getValues(head, name), expected, headers.join(" "));
            t.same(getValues(head, "Attempt-Id"), ["a1"]);
        }
    });
}

void t.test("a caller that lists what it asks in Connection asks it all the same", async t => {
    const asked = ["Attempt-Id", "a1", "Model", "m", "Token-Usage", "5,6", "Prefix-Hash", "a:5", "Last-Event-Id", "3"];
    const names = asked.filter((_, i) => i % 2 === 0);
    const head = await readSentHead(["Connection", `${names.join(", ")}, X-Hop`, "X-Hop", "1", ...asked]);
    for (const name of names) {
        t.same(getValues(head, name), [asked[asked.indexOf(name) + 1]], name);
    }
    t.same(getValues(head, "X-Hop"), []);
});

void t.test("a stray answer to another request is told apart", async t => {
    await withEngine(
        socket =>
            socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nInstance-Signature: s\r\nContent-Length: 0\r\n\r\n"),
        async (client, address) => {
            t.match((await exchange(client, createCall(address))).heads, [{ isOwn: false }]);
        },
    );
});

void t.test("a request that cannot be sent has certainly not run", async t => {
    const { address, server } = await startEngine(() => undefined);
    await new Promise(resolve => server.close(resolve));
    const client = new EngineClient();
    t.match((await exchange(client, createCall(address))).end, { wasSent: false });
    client.close();
});
