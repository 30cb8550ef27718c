/** Operator commands. Each prints to standard output and throws a RefusalError on failure. */
import * as z from "zod";
import { formatValue } from "../adapters/keyValueLog.js";
import type { FleetStatus } from "../daemons/controller/statusService.js";
import { createAccountKey, createKeyHash } from "../domain/keys.js";
import { RefusalError } from "../domain/resultCodes.js";
import { checkJsonc, readJsoncFile } from "../settings/jsoncFile.js";
import { callOperatorApi, type OperatorTarget, watchOperatorApi } from "./operatorClient.js";
import { formatStatus } from "./statusReport.js";
import { formatTable } from "./table.js";

export type OutputFormat = "table" | "json";

interface ListedObject {
    readonly kind: string;
    readonly name: string;
    readonly revision: number;
    readonly spec: Record<string, unknown>;
    readonly status?: { readonly inForceAt?: { readonly daemons: number; readonly behind: readonly string[]; }; };
}

const applySchema = z.union([
    z.strictObject({
        objects: z.array(
            z.strictObject({
                kind: z.string(),
                name: z.string(),
                spec: z.record(z.string(), z.unknown()),
                revision: z.int().optional(),
            }),
        ),
    }),
    z.strictObject({
        kind: z.string(),
        name: z.string(),
        spec: z.record(z.string(), z.unknown()),
        revision: z.int().optional(),
    }),
]);

/** `get KIND [NAME]` */
export async function getObjects(
    target: OperatorTarget,
    kind: string,
    name: string | undefined,
    format: OutputFormat,
): Promise<void> {
    if (name !== undefined) {
        printLine(
            format === "json"
                ? formatJson(await callOperatorApi(target, "GET", `/api/v1/objects/${kind}/${name}`))
                : formatObjects([
                    await callOperatorApi(target, "GET", `/api/v1/objects/${kind}/${name}`) as ListedObject,
                ]),
        );
        return;
    }
    const { items } = await callOperatorApi(target, "GET", `/api/v1/objects/${kind}`) as { items: ListedObject[]; };
    printLine(format === "json" ? formatJson(items) : formatObjects(items));
}

/** `apply -f FILE`: creates or updates the objects of the file in order. */
export async function applyFile(target: OperatorTarget, path: string, operationId: string | undefined): Promise<void> {
    const file = await readJsoncFile(path);
    const parsed = file.andThen(read => checkJsonc(read, applySchema));
    if (parsed.isErr()) {
        throw new RefusalError(parsed.error);
    }
    const objects = "objects" in parsed.value ? parsed.value.objects : [parsed.value];
    for (const [index, object] of objects.entries()) {
        const { kind, name, spec, revision } = object;
        const id = operationId === undefined ? {} : { operationId: `${operationId}.${index}` };
        const answer = await callOperatorApi(target, "PUT", `/api/v1/objects/${kind}/${name}`, {
            spec,
            ...(revision === undefined ? {} : { revision }),
            ...id,
        });
        printKeyValues({ applied: `${kind}/${name}`, ...(answer as object) });
    }
}

/** `delete KIND NAME` */
export async function deleteObject(
    target: OperatorTarget,
    kind: string,
    name: string,
    revision: number | undefined,
): Promise<void> {
    const query = revision === undefined ? "" : `?revision=${revision}`;
    printKeyValues({
        deleted: `${kind}/${name}`,
        ...(await callOperatorApi(target, "DELETE", `/api/v1/objects/${kind}/${name}${query}`) as object),
    });
}

/** `watch [--from REVISION]` */
export async function watchObjects(target: OperatorTarget, from: number): Promise<void> {
    for await (const update of watchOperatorApi(target, `/api/v1/watch?from=${from}`)) {
        printLine(JSON.stringify(update));
    }
}

/** `top-up BUDGET TOKENS` */
export async function topUp(
    target: OperatorTarget,
    budget: string,
    tokens: number,
    operationId?: string,
    home?: string,
): Promise<void> {
    const body = {
        budget,
        tokens,
        ...(operationId === undefined ? {} : { operationId }),
        ...(home === undefined ? {} : { home }),
    };
    printKeyValues({
        topped_up: budget,
        tokens,
        ...(await callOperatorApi(target, "POST", "/api/v1/top-ups", body) as object),
    });
}

/** `release BUDGET TOKENS` */
export async function releaseUnaccounted(target: OperatorTarget, budget: string, tokens: number): Promise<void> {
    printKeyValues({
        budget,
        ...(await callOperatorApi(target, "POST", "/api/v1/release", { budget, tokens }) as object),
    });
}

/** `audit` and `bills`: the most recent records, oldest first. */
export async function printRecords(
    target: OperatorTarget,
    recordType: "audit" | "bills",
    limit: number,
    format: OutputFormat,
): Promise<void> {
    const { items } = await callOperatorApi(target, "GET", `/api/v1/${recordType}?limit=${limit}`) as {
        items: Record<string, unknown>[];
    };
    if (format === "json") {
        printLine(formatJson(items));
        return;
    }
    items.forEach(item => printKeyValues(item));
}

/** `status [--watch]` */
export async function printStatus(
    target: OperatorTarget,
    watch: boolean,
    format: OutputFormat,
    pollIntervalMs = 1_000,
): Promise<void> {
    do {
        const status = await callOperatorApi(target, "GET", "/api/v1/status") as FleetStatus;
        printLine(
            format === "json" ? formatJson(status) : `${watch ? "\u001b[2J\u001b[H" : ""}${formatStatus(status)}`,
        );
        if (watch) {
            await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
        }
    } while (watch);
}

/** `create-key ACCOUNT`: generates a bearer key and the hash to declare. */
export function printNewKey(account: string): void {
    const key = createAccountKey(account);
    printKeyValues({ key, keyHash: createKeyHash(key) });
}

/** `hash-token TOKEN` */
export function printTokenHash(token: string): void {
    printKeyValues({ tokenHash: createKeyHash(token) });
}

/** Prints one line of key=value pairs. */
export function printKeyValues(pairs: object): void {
    const text = Object.entries(pairs).map(([key, value]) =>
        `${key}=${formatValue(typeof value === "object" ? JSON.stringify(value) : value)}`
    );
    printLine(text.join(" "));
}

function formatObjects(items: readonly ListedObject[]): string {
    const rows = items.map(
        item => [
            item.kind,
            item.name,
            String(item.revision),
            formatInForce(item),
            JSON.stringify(item.spec).slice(0, 100),
        ],
    );
    return formatTable(["KIND", "NAME", "REVISION", "IN FORCE AT", "SPEC"], rows);
}

function formatInForce(item: ListedObject): string {
    const inForce = item.status?.inForceAt;
    return inForce === undefined ? "-" : `${inForce.daemons}/${inForce.daemons + inForce.behind.length}`;
}

function formatJson(value: unknown): string {
    return JSON.stringify(value, undefined, 2);
}

function printLine(text: string): void {
    process.stdout.write(`${text}\n`);
}
