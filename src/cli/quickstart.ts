/**
 * `loomwinch quickstart`: runs a demo fleet with stand-in upstreams in one process. Declares objects, tops up a budget,
 * sends a streaming chat request and a service request, and prints the responses, the bill and the balance.
 */
import { join } from "node:path";
import { request } from "undici";
import type { FleetStatus } from "../daemons/controller/statusService.js";
import { StandInEngine } from "../daemons/standIn/standInEngine.js";
import { StandInService } from "../daemons/standIn/standInService.js";
import { createAccountKey, createKeyHash } from "../domain/keys.js";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import { checkJsonc, readJsoncFile } from "../settings/jsoncFile.js";
import {
    controllerSettings,
    type QuickstartSettings,
    quickstartSettings,
    routerSettings,
    sidecarSettings,
    standInEngineSettings,
    standInServiceSettings,
} from "../settings/schemas.js";
import { type RunningRole, startController, startRouter, startSidecar } from "../wiring.js";
import { callOperatorApi, type OperatorTarget } from "./operatorClient.js";
import { printKeyValues } from "./operatorCommands.js";

const OPERATOR_TOKEN = "quickstart-operator-token";
const FLEET_SECRET = "quickstart-fleet-secret";
const ACCOUNT = "demo";
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;

/** Runs the demo and stops all roles afterwards. */
export async function runQuickstart(path: string, dataFolder?: string): Promise<void> {
    const settings = await readQuickstartSettings(path);
    const roles: { stop(): Promise<void>; }[] = [];
    try {
        await runDemo({ ...settings, dataFolder: dataFolder ?? settings.dataFolder }, roles);
    }
    finally {
        for (const role of roles.reverse()) {
            await role.stop();
        }
    }
}

async function runDemo(settings: QuickstartSettings, roles: { stop(): Promise<void>; }[]): Promise<void> {
    const started = await startRoles(settings, roles);
    const target = { server: `http://${started.controller.httpAddress}`, token: OPERATOR_TOKEN };
    await waitUntil("leader election", async () => (await getStatus(target)).leader !== undefined);
    const key = createAccountKey(ACCOUNT);
    await declareObjects(target, settings, started, key);
    await callOperatorApi(target, "POST", "/api/v1/top-ups", settings.topUp);
    const router = `http://${started.router.httpAddress}`;
    await waitUntil("all daemons to apply the configuration", async () => {
        const status = await getStatus(target);
        return status.daemons.length >= 2 && status.daemons.every(daemon => daemon.revision === status.revision);
    });
    await sendChatRequest(router, key);
    await sendServiceRequest(router, key);
    await printBalance(target, settings.topUp.budget);
}

interface StartedRoles {
    readonly controller: RunningRole;
    readonly router: RunningRole;
    readonly sidecar: RunningRole;
    readonly engineUrl: string;
    readonly serviceUrl: string;
}

async function startRoles(settings: QuickstartSettings, roles: { stop(): Promise<void>; }[]): Promise<StartedRoles> {
    const engine = new StandInEngine(
        standInEngineSettings.parse({
            role: "stand-in-engine",
            name: "engine",
            listen: "127.0.0.1:0",
            ...settings.engine,
        }),
    );
    const service = new StandInService(
        standInServiceSettings.parse({
            role: "stand-in-service",
            name: "service",
            listen: "127.0.0.1:0",
            ...settings.service,
        }),
    );
    const engineUrl = await engine.start();
    roles.push(engine);
    const serviceUrl = await service.start();
    roles.push(service);
    const common = { zone: "local", listen: "127.0.0.1:0", fleetSecret: FLEET_SECRET, logLevel: "warn" };
    const self = { name: "controller", zone: "local", address: "127.0.0.1:1" };
    const controller = await startController(controllerSettings.parse({
        ...common,
        role: "controller",
        name: "controller",
        controllers: [self],
        dataFolder: join(settings.dataFolder, "controller"),
        operatorListen: "127.0.0.1:0",
        operators: [{ name: "quickstart", tokenHash: createKeyHash(OPERATOR_TOKEN) }],
        ...settings.controller,
    }));
    roles.push(controller);
    const controllers = [{ ...self, address: controller.peerAddress }];
    const sidecar = await startSidecar(
        sidecarSettings.parse({
            ...common,
            role: "sidecar",
            name: "sidecar",
            box: "box",
            controllers,
            ...settings.sidecar,
        }),
    );
    roles.push(sidecar);
    const router = await startRouter(
        routerSettings.parse({
            ...common,
            role: "router",
            name: "router",
            callerListen: "127.0.0.1:0",
            controllers,
            ...settings.router,
        }),
    );
    roles.push(router);
    return { controller, router, sidecar, engineUrl, serviceUrl };
}

/** Declares the objects in the settings, replacing placeholders in braces with values known only at run time. */
async function declareObjects(
    target: OperatorTarget,
    settings: QuickstartSettings,
    started: StartedRoles,
    key: string,
): Promise<void> {
    const placeholders: Record<string, string> = {
        "{sidecar}": started.sidecar.peerAddress,
        "{engine}": started.engineUrl,
        "{service}": started.serviceUrl,
        "{keyHash}": createKeyHash(key),
    };
    for (const object of settings.objects) {
        const spec = JSON.parse(
            JSON.stringify(object.spec),
            (_name, value: unknown) => typeof value === "string" ? placeholders[value] ?? value : value,
        ) as unknown;
        const answer = await callOperatorApi(target, "PUT", `/api/v1/objects/${object.kind}/${object.name}`, { spec });
        printKeyValues({
            step: "declared",
            object: `${object.kind}/${object.name}`,
            revision: (answer as { revision: number; }).revision,
        });
    }
}

async function sendChatRequest(router: string, key: string): Promise<void> {
    const body = {
        model: "wetterwort",
        messages: [{ role: "user", content: "Storm briefing for the Arlberg road crews, please. out=12" }],
        max_tokens: 64,
        stream: true,
        stream_options: { include_usage: true },
    };
    const response = await request(`${router}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        throw new RefusalError(createRefusal("internal", text, "unknown"));
    }
    const events = text.split("\n\n").filter(event => event.startsWith("data: {")).map(event =>
        JSON.parse(event.slice(6)) as ChatEvent
    );
    const answer = events.map(event => event.choices[0]?.delta?.content ?? "").join("");
    const usage = events[events.length - 1]!.usage!;
    printKeyValues({ step: "answered", request: response.headers["x-request-id"], answer: answer.trim() });
    printKeyValues({
        step: "billed",
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
        total_tokens: usage.total_tokens,
    });
}

interface ChatEvent {
    readonly choices: { readonly delta?: { readonly content?: string; }; }[];
    readonly usage?: {
        readonly prompt_tokens: number;
        readonly completion_tokens: number;
        readonly total_tokens: number;
    };
}

async function sendServiceRequest(router: string, key: string): Promise<void> {
    const response = await request(`${router}/services/kachelamt/tiles/12/2200/1440`, {
        headers: { authorization: `Bearer ${key}` },
    });
    printKeyValues({ step: "called", status: response.statusCode, answer: await response.body.text() });
}

async function printBalance(target: OperatorTarget, name: string): Promise<void> {
    await waitUntil("the requests to be billed", async () => {
        const budget = (await getStatus(target)).budgets[name];
        return budget !== undefined && budget.spent > 0;
    });
    const budget = (await getStatus(target)).budgets[name]!;
    const remaining = budget.toppedUp - budget.spent - budget.unaccounted - budget.sealed;
    printKeyValues({
        step: "balance",
        budget: name,
        topped_up: budget.toppedUp,
        spent: budget.spent,
        remaining,
        conserved: budget.conserved,
    });
}

async function getStatus(target: OperatorTarget): Promise<FleetStatus> {
    return await callOperatorApi(target, "GET", "/api/v1/status") as FleetStatus;
}

async function waitUntil(description: string, checkCondition: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!await checkCondition()) {
        if (performance.now() > deadline) {
            throw new RefusalError(createRefusal("internal", `timed out waiting for ${description}`));
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}

async function readQuickstartSettings(path: string): Promise<QuickstartSettings> {
    const file = await readJsoncFile(path);
    const parsed = file.andThen(read => checkJsonc(read, quickstartSettings));
    if (parsed.isErr()) {
        throw new RefusalError(parsed.error);
    }
    return parsed.value;
}
