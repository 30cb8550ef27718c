/**
 * Routers with a connection relay: callers get complete answers by way of another router, and nothing changes where the
 * settings do not call for a relay. Guards against loops, connections that stay with another router, and bad settings.
 */
import { once } from "node:events";
import { Agent, request as startRequest } from "node:http";
import { connect } from "node:net";
import t from "tap";
import { parseBoxSettings } from "../../platform/boxSettings.js";
import { EngineClient } from "../../platform/engineClient.js";
import { createRouterSettings } from "../../platform/roleSettings.js";
import { startDirectRouter } from "../../src/bundleWiring.js";
import type { RelayCoordinator } from "../../src/daemons/directRouter/relayCoordinator.js";
import { parseConnectionRelaySettings } from "../../src/settings/connectionRelaySettings.js";
import { DirectFleet } from "../tools/directFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 97;
const RELAY_PORT = 7341;
const SMALL_BOX = "[limits]\ncpu_quota = 0.4\ncores = 0.5";
const EVENTS = 5;
const EVENT_GAP_MS = 100;
/** Of the bundle. */
const HEADER_TIMEOUT_MS = 3_000;
const fleet = new DirectFleet(NETWORK);

interface Answer {
    readonly status: number;
    readonly body: string;
    readonly connection: string | undefined;
    readonly retryAfter: string | undefined;
    readonly code: string | undefined;
}

/** Sends a request to a router, on a new connection unless an agent is given; resolves to its answer, which is incomplete if there is an error code. */
async function call(router: string, agent?: Agent): Promise<Answer> {
    const ownAgent = new Agent({ keepAlive: true });
    const answer = await callWith(router, agent ?? ownAgent);
    ownAgent.destroy();
    return answer;
}

function callWith(router: string, agent: Agent): Promise<Answer> {
    return new Promise(resolve => {
        let [status, body] = [0, ""];
        let headers: Record<string, string | string[] | undefined> = {};
        const finish = (code?: string): void =>
            resolve({
                status,
                body,
                connection: headers["connection"] as string | undefined,
                retryAfter: headers["retry-after"] as string | undefined,
                code,
            });
        const request = startRequest(fleet.getCallerUrl(router, "/s/x"), {
            method: "POST",
            agent,
            headers: { "Host": "api.example", "Attempt-Id": "a1", "Credential": "key-1", "Token-Usage": "10,25" },
        }, response => {
            status = response.statusCode!;
            headers = response.headers;
            response.setEncoding("utf8").on("data", (text: string) => body += text);
            response.on("end", () => finish()).on("error", (error: NodeJS.ErrnoException) => finish(error.code));
        });
        request.on("error", (error: NodeJS.ErrnoException) => finish(error.code));
        request.end("{}");
    });
}

function getCoordinator(router: string): RelayCoordinator {
    return fleet.routers.get(router)!.role.daemon.tryGetRelayCoordinator()!;
}

/** Lets a router relay every connection to another one, as if that had spare capacity. */
function relayAll(from: string, to: string, relayPort = RELAY_PORT): void {
    const address = `${fleet.getIp(to)}:7340`;
    const load = { revision: 1, utilization: 0, cores: 1, isAccepting: true };
    getCoordinator(from).tryChooseRouter = () => ({
        ...load,
        address,
        relayAddress: `${fleet.getIp(to)}:${relayPort}`,
    });
}

async function isOpen(box: string, port: number): Promise<boolean> {
    const socket = connect(port, fleet.getIp(box));
    const isConnected = await once(socket, "connect").then(() => true, () => false);
    socket.destroy();
    return isConnected;
}

void t.test("connections are relayed to another router", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await Promise.all(["r1", "r2"].map(box => fleet.startRouter(box, {}, SMALL_BOX)));
    await fleet.startRouter("r3");
    const address = await fleet.startEngine("r21", (message, response) => {
        const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
        let count = 0;
        const timer = setInterval(() => {
            count += 1;
            response.write(`id: ${count}\ndata: x\n\n`);
            if (count === EVENTS) {
                clearInterval(timer);
                response.end();
            }
        }, EVENT_GAP_MS);
        response.on("close", () => clearInterval(timer));
    });
    await fleet.putBundle("c1", createWireBundle(1));
    const registration = { backend: "engines", address, zone: "z", slots: 4, state: "ready", config_rev: "v1" };
    await fleet.startReporting("c1", "e1", registration);
    const daemons = ["r1", "r2", "r3"].map(box => fleet.routers.get(box)!.role.daemon);
    await waitUntil(
        "ready",
        () => daemons.every(daemon => daemon.getBundleRevision() === 1 && daemon.registry.tryGet("e1") !== undefined),
    );
    const served = new Map<string, number>();
    for (const box of ["r1", "r2", "r3"]) {
        const { daemon } = fleet.routers.get(box)!.role;
        const handle = daemon.handle.bind(daemon);
        daemon.handle = (...args) => {
            served.set(box, 1 + (served.get(box) ?? 0));
            return handle(...args);
        };
    }

    await t.test("without the settings there is no second listener and no relay", async t => {
        t.equal(daemons[2]!.tryGetRelayCoordinator(), undefined);
        t.notOk(await isOpen("r3", RELAY_PORT));
        t.ok(await isOpen("r1", RELAY_PORT));
        const answer = await call("r3");
        t.equal(answer.status, 200);
        t.not(answer.connection, "close");
    });

    await t.test("a router that is not loaded serves its callers itself, over connections that stay open", async t => {
        served.clear();
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        t.teardown(() => agent.destroy());
        t.equal((await call("r1", agent)).status, 200);
        t.not((await call("r1", agent)).connection, "close");
        t.same([...served], [["r1", 2]]);
    });

    // Guards against callers that see an older configuration after a newer one on a kept connection.
    await t.test("relayed requests are served whole by the other router, until its configuration changes", async t => {
        served.clear();
        relayAll("r1", "r2");
        relayAll("r2", "r1");
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        t.teardown(() => agent.destroy());
        for (let i = 0; i < 2; i++) {
            const answer = await call("r1", agent);
            t.equal(answer.status, 200);
            t.equal(answer.body.match(/^id: /gm)?.length, EVENTS);
            t.not(answer.connection, "close", "setting up a connection costs more than a request");
        }
        t.same([...served], [["r2", 2]], "relayed once, not back again");
        const { daemon } = fleet.routers.get("r2")!.role;
        daemon.getBundleRevision = () => 2;
        t.equal((await call("r1", agent)).connection, "close", "the next request may have to be served elsewhere");
        daemon.getBundleRevision = () => 1;
    });

    // Guards against callers that hold connections of a router with the relay for ever: its HTTP server does not listen itself.
    await t.test("an incomplete head is rejected after the header timeout", async t => {
        const socket = connect(8227, fleet.getIp("r3"));
        const relaying = connect(8227, fleet.getIp("r2"));
        relayAll("r2", "none", 1);
        getCoordinator("r2").tryChooseRouter = () => undefined;
        const startedAt = performance.now();
        const ends = [socket, relaying].map(async connection => {
            connection.on("error", () => undefined).write("GET / HTTP/1.1\r\nHost: ");
            connection.resume();
            await once(connection, "close");
            return performance.now() - startedAt;
        });
        for (const tookMs of await Promise.all(ends)) {
            t.ok(tookMs < HEADER_TIMEOUT_MS + 2_000, `closed after ${Math.round(tookMs)} ms`);
        }
    });

    await t.test("no connection to the other router: the request is served locally, and the router not used for a while", async t => {
        served.clear();
        relayAll("r1", "r2", RELAY_PORT + 1);
        const failures: string[] = [];
        getCoordinator("r1").recordConnectFailure = router => failures.push(router);
        t.equal((await call("r1")).status, 200);
        t.same([...served], [["r1", 1]]);
        t.same(failures, [`${fleet.getIp("r2")}:7340`]);
    });

    await t.test("while a router relays, it closes its connections after an answer", async t => {
        const coordinator = getCoordinator("r1");
        coordinator.tryChooseRouter = () => undefined;
        coordinator.isRelaying = () => true;
        t.equal((await call("r1")).connection, "close");
        coordinator.isRelaying = () => false;
    });

    await t.test("an overloaded router refuses before it reserves tokens, and says when to retry", async t => {
        const before = fleet.engineRequests.length;
        const { tokenBudget } = daemons[0]!;
        const freeTokens = tokenBudget.tryGetState("acme", performance.now())?.free;
        const coordinator = getCoordinator("r1");
        const tryRefuse = coordinator.tryRefuse.bind(coordinator);
        coordinator.tryRefuse = () => ({ code: "routerOverloaded", ran: "no", retryAfterMs: 420 });
        const answer = await call("r1");
        t.equal(answer.status, 503);
        t.match(answer.body, /routerOverloaded/);
        t.equal(answer.retryAfter, "0.42");
        t.equal(fleet.engineRequests.length, before);
        t.equal(tokenBudget.tryGetState("acme", performance.now())?.free, freeTokens);
        coordinator.tryRefuse = tryRefuse;
    });

    await t.test("the other router is lost in the middle of an answer: the caller's connection is reset", async t => {
        relayAll("r1", "r2");
        const answer = call("r1");
        await wait(2 * EVENT_GAP_MS);
        await fleet.stopRouter("r2");
        t.equal((await answer).code, "ECONNRESET");
    });
});

void t.test("the relay is enabled on small boxes with a second port", t => {
    const create = (limits: string, lastPort: number) =>
        createRouterSettings(
            parseBoxSettings(`
                node_name = "r1"\nip = "127.0.0.1"\nzone = "z"\nport_range = [7340, ${lastPort}]\nseeds = []
                [listen]\n${limits}`),
            new EngineClient(),
        ).connectionRelay;
    t.match(create("[limits]\ncpu_quota = 0.6", 7_341), { cores: 0.6, relayAddress: "127.0.0.1:7341" });
    t.ok(create("[limits]\ncpu_quota = 0.4\ncores = 1.5", 7_341), "0.6 but for the rounding of the product");
    t.equal(create("[limits]\ncpu_quota = 0.41\ncores = 1.5", 7_341), undefined, "a larger box");
    t.equal(create("[limits]\ncpu_quota = 0.4", 7_340), undefined, "a single port");
    t.equal(create("", 7_341), undefined, "unknown CPU time");
    t.end();
});

void t.test("invalid settings are rejected at start, with the setting and the bound", async t => {
    const settings = { cores: 0.3, relayAddress: "127.0.0.1:7341" };
    for (
        const [changed, message] of [
            [{ targetUtilization: 0.95 }, /^LW4001 settingsInvalid: connectionRelay\.targetUtilization: .*0\.9/],
            [{ maxFraction: 0.98 }, /connectionRelay\.maxFraction: .*0\.97/],
            [{ loadExpiryMs: 500 }, /connectionRelay\.loadExpiryMs: .*1100/],
            [{ maxConnections: 0 }, /connectionRelay\.maxConnections: .*1/],
            [{ maxRetainedBytes: 300_000_000 }, /connectionRelay\.maxRetainedBytes: .*268435456/],
            [{ maxRetainedRequestBytes: -1 }, /connectionRelay\.maxRetainedRequestBytes: .*0/],
            [{ relayAddress: "127.0.0.1" }, /connectionRelay\.relayAddress: .*HOST:PORT/],
        ] as const
    ) {
        t.throws(() => parseConnectionRelaySettings({ ...settings, ...changed }), { message });
    }
    const box = parseBoxSettings(`
        node_name = "r1"\nip = "127.${NETWORK}.2.9"\nzone = "z"\nport_range = [7340, 7341]\nseeds = []\n[listen]`);
    const invalid = { ...createRouterSettings(box, new EngineClient()), connectionRelay: { ...settings, cores: 0 } };
    await t.rejects(startDirectRouter(invalid), { message: /connectionRelay\.cores/ });
});
