/**
 * BUDGET: clients leave their streams shortly after the engine was cut off from all machines. It does not learn of that and goes
 * on; the routers settle the requests by what they have received and give the rest of their tokens to others.
 */
import { setMaxListeners } from "node:events";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { balanceRoute, createConfig, createHeaders, TENANT, TOKENS_PER_EVENT } from "../config.mjs";
import { CONTACT_MS, runCase } from "../fleet.mjs";
import { createId, Engine, formatEvent, Link, now, SetupError, wait } from "../standIns.mjs";

const PREPAID = 300_000;
/** A long answer of the kind of request `consulta-saldo`: 159 events are the most of the site. */
const LONG = { prompt: 826, events: 159 };
/** A short one, of which many are sent until the account has nothing left. */
const SHORT = { prompt: 2_000, events: 5 };
const STREAMS = 60;
/** A third of the clients leaves early. */
const LEAVING_STREAMS = 20;
const EVENT_MS = 20;
const STREAM_MS = 1_000;
/** How long after the cut the clients leave. */
const LEAVE_AFTER_MS = 150;
/** Cuts last up to 8.9 s on the days of the site. */
const CUT_MS = 4_000;
/** After the cut, the engine has to be heard of again. */
const RETURN_MS = 2_000;
const MAX_SHORT_REQUESTS = 400;
/** The account is used up when so many requests have been refused with 402. */
const MIN_REFUSALS = 8;
const PREPAID_EXHAUSTED = 402;
const SHORT_BATCH = 4;

/** A model engine: counts the tokens that a tenant gets, tokens in once a request and tokens handed out. */
class ModelEngine {
    tokens = 0;
    runs = 0;

    constructor(recorder) {
        this.recorder = recorder;
    }

    handle = async (request, response, id) => {
        const [prompt, mostOut] = request.headers["token-usage"].split(",").map(Number);
        const eventCount = mostOut / TOKENS_PER_EVENT;
        const deadline = now() + Number(request.headers["deadline-ms"]);
        let hasCallerLeft = false;
        response.on("close", () => hasCallerLeft = true);
        this.runs += 1;
        this.tokens += prompt;
        response.writeHead(200, {
            "Content-Type": "text/event-stream",
            "Attempt-Id": id,
            "Instance-Signature": `3e1b.${id}`,
        });
        let made = 0;
        while (made < eventCount && !hasCallerLeft && now() < deadline) {
            await wait(EVENT_MS);
            if (!hasCallerLeft) {
                made += 1;
                this.tokens += TOKENS_PER_EVENT;
                response.write(formatEvent(made));
            }
        }
        const isWhole = made === eventCount;
        this.recorder.add("run", { id, tenant: request.headers.tenant, prompt, out: made * TOKENS_PER_EVENT, isWhole });
        if (isWhole) {
            response.end();
        }
        else {
            response.destroy();
        }
    };
}

async function send(fleet, router, size, options = {}) {
    const id = createId();
    const answer = await fleet.request(router, {
        method: "POST",
        path: `${balanceRoute.path_prefix}2f`,
        headers: createHeaders(id, size),
        body: "x".repeat(size.prompt),
        timeoutMs: 13_000,
        ...options,
    });
    const { status, isComplete, error } = answer;
    fleet.recorder.add("answer", { id, router, status, isComplete, error });
    return answer;
}

/** Sends short requests until the account is used up. */
async function useUp(fleet) {
    let sent = 0;
    let refused = 0;
    while (refused < MIN_REFUSALS && sent < MAX_SHORT_REQUESTS) {
        const batch = Array.from(
            { length: SHORT_BATCH },
            (_, i) => send(fleet, fleet.routers[i % fleet.routers.length], SHORT),
        );
        const refusals = (await Promise.all(batch)).filter(({ status }) => status === PREPAID_EXHAUSTED).length;
        sent += SHORT_BATCH;
        refused += refusals;
        if (refusals > 0) {
            await wait(500);
        }
    }
    if (refused < MIN_REFUSALS) {
        throw new SetupError("the account was not used up");
    }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ recorder, hasTrouble, closeables, createFleet }) => {
    const fleet = await createFleet({ controllers: 5, routers: 2 });
    fleet.startAll();
    await fleet.putConfig(createConfig({ prepaid: PREPAID }));
    const model = new ModelEngine(recorder);
    const link = new Link(fleet.getHost("side-2"), fleet.getHost("side-1"));
    const engine = new Engine({
        host: fleet.getHost("side-1"),
        service: balanceRoute.backend,
        controllers: fleet.getControllerHosts(),
        handle: model.handle,
        address: `${link.host}:8228`,
    });
    closeables.push(engine, link);
    await link.listen();
    await engine.start();
    await fleet.waitReady();
    await wait(CONTACT_MS);
    // The first requests obtain prepaid tokens.
    await Promise.all(fleet.routers.map(router => send(fleet, router, SHORT)));

    const leaving = new AbortController();
    setMaxListeners(LEAVING_STREAMS, leaving.signal);
    const streams = Array.from({ length: STREAMS }, (_, i) => {
        const options = i < LEAVING_STREAMS ? { signal: leaving.signal } : {};
        return send(fleet, fleet.routers[i % fleet.routers.length], LONG, options);
    });
    await wait(STREAM_MS);
    if (hasTrouble) {
        link.cut();
        engine.isCutOff = true;
        recorder.add("cut");
    }
    await wait(LEAVE_AFTER_MS);
    leaving.abort();
    recorder.add("clients_left", { count: LEAVING_STREAMS });
    await wait(CUT_MS);
    if (hasTrouble) {
        link.heal();
        engine.isCutOff = false;
        recorder.add("healed");
    }
    await Promise.all(streams);
    await wait(RETURN_MS);
    await useUp(fleet);
    // Runs whose callers have left have ended by now.
    await wait(1_000);
    return {
        isBroken: model.tokens > PREPAID,
        tenant: TENANT,
        prepaid: PREPAID,
        received: model.tokens,
        runs: model.runs,
    };
});
