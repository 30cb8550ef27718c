/**
 * The main job in one process: controller, router, sidecar, stand-in engine and stand-in service; declares objects,
 * tops a budget up, answers one streamed chat and one plain call, and prints answer, bill and balance.
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
import { printPairs } from "./operatorCommands.js";

const OPERATOR_TOKEN = "quickstart-operator-token";
const FLEET_SECRET = "quickstart-fleet-secret";
const ACCOUNT = "demo";
const READY_TIMEOUT_MS = 20_000;
const TURN_MS = 50;

/** Runs the demonstration and stops everything again. */
export async function runQuickstart(path: string, dataFolder?: string): Promise<void> {
    const settings = await readQuickstart(path);
    const roles: { stop(): Promise<void>; }[] = [];
    try {
        await demonstrate({ ...settings, dataFolder: dataFolder ?? settings.dataFolder }, roles);
    }
    finally {
        for (const role of roles.reverse()) {
            await role.stop();
        }
    }
}

async function demonstrate(settings: QuickstartSettings, roles: { stop(): Promise<void>; }[]): Promise<void> {
    const started = await startAll(settings, roles);
    const target = { server: `http://${started.controller.httpAddress}`, token: OPERATOR_TOKEN };
    await waitUntil("a leader", async () => (await getStatus(target)).leader !== undefined);
    const key = createAccountKey(ACCOUNT);
    await declareObjects(target, settings, started, key);
    await callOperatorApi(target, "POST", "/api/v1/top-ups", settings.topUp);
    const router = `http://${started.router.httpAddress}`;
    await waitUntil("the configuration to be in force", async () => {
        const status = await getStatus(target);
        return status.daemons.length >= 2 && status.daemons.every(daemon => daemon.revision === status.revision);
    });
    await askChat(router, key);
    await callPlain(router, key);
    await printBalance(target, settings.topUp.budget);
}

interface StartedRoles {
    readonly controller: RunningRole;
    readonly router: RunningRole;
    readonly sidecar: RunningRole;
    readonly engineUrl: string;
    readonly serviceUrl: string;
}

async function startAll(settings: QuickstartSettings, roles: { stop(): Promise<void>; }[]): Promise<StartedRoles> {
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

/** Declares what the settings list; the addresses that are only known now stand there as names in braces. */
async function declareObjects(
    target: OperatorTarget,
    settings: QuickstartSettings,
    started: StartedRoles,
    key: string,
): Promise<void> {
    const values: Record<string, string> = {
        "{sidecar}": started.sidecar.peerAddress,
        "{engine}": started.engineUrl,
        "{service}": started.serviceUrl,
        "{keyHash}": createKeyHash(key),
    };
    for (const object of settings.objects) {
        const spec = JSON.parse(
            JSON.stringify(object.spec),
            (_name, value: unknown) => typeof value === "string" ? values[value] ?? value : value,
        ) as unknown;
        const answer = await callOperatorApi(target, "PUT", `/api/v1/objects/${object.kind}/${object.name}`, { spec });
        printPairs({
            step: "declared",
            object: `${object.kind}/${object.name}`,
            revision: (answer as { revision: number; }).revision,
        });
    }
}

async function askChat(router: string, key: string): Promise<void> {
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
    printPairs({ step: "answered", request: response.headers["x-request-id"], answer: answer.trim() });
    printPairs({
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

async function callPlain(router: string, key: string): Promise<void> {
    const response = await request(`${router}/services/kachelamt/tiles/12/2200/1440`, {
        headers: { authorization: `Bearer ${key}` },
    });
    printPairs({ step: "called", status: response.statusCode, answer: await response.body.text() });
}

async function printBalance(target: OperatorTarget, name: string): Promise<void> {
    await waitUntil("the bills to settle", async () => {
        const budget = (await getStatus(target)).budgets[name];
        return budget !== undefined && budget.spent > 0;
    });
    const budget = (await getStatus(target)).budgets[name]!;
    const remaining = budget.toppedUp - budget.spent - budget.unaccounted - budget.sealed;
    printPairs({
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

async function waitUntil(what: string, isTrue: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!await isTrue()) {
        if (performance.now() > deadline) {
            throw new RefusalError(createRefusal("internal", `waited in vain for ${what}`));
        }
        await new Promise(resolve => setTimeout(resolve, TURN_MS));
    }
}

async function readQuickstart(path: string): Promise<QuickstartSettings> {
    const file = await readJsoncFile(path);
    const parsed = file.andThen(read => checkJsonc(read, quickstartSettings));
    if (parsed.isErr()) {
        throw new RefusalError(parsed.error);
    }
    return parsed.value;
}
