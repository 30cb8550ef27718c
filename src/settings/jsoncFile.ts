/** Reads files of JSON with comments, and says for each fault its line and column. */
import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import type * as z from "zod";
import { createRefusal, type Refusal } from "../domain/resultCodes.js";

/** A parsed file with what is needed to point into it. */
export interface JsoncFile {
    readonly path: string;
    readonly text: string;
    readonly value: unknown;
    readonly root: Node;
}

/** Reads and parses a file. Every syntax fault is told, with its place. */
export async function readJsoncFile(path: string): Promise<Result<JsoncFile, Refusal>> {
    let text: string;
    try {
        text = await readFile(path, "utf8");
    }
    catch (error) {
        return err(createRefusal("settingsSyntax", `${path}: ${(error as Error).message}`));
    }
    return parseJsonc(path, text);
}

/** Parses text as JSON with comments. */
export function parseJsonc(path: string, text: string): Result<JsoncFile, Refusal> {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    if (errors.length > 0 || root === undefined) {
        const faults = errors.map(error =>
            `${formatPlace(path, text, error.offset)}: ${printParseErrorCode(error.error)}`
        );
        return err(
            createRefusal("settingsSyntax", faults.length > 0 ? faults.join("\n") : `${path}: the file is empty`),
        );
    }
    return ok({ path, text, value: getNodeValue(root), root });
}

/** Checks a file's content, or the part at `at`, against a schema. Every fault is told at once, with its place. */
export function checkJsonc<T>(
    file: JsoncFile,
    schema: z.ZodType<T>,
    at: readonly (string | number)[] = [],
): Result<T, Refusal> {
    const part = at.length === 0 ? file.root : findNodeAtLocation(file.root, [...at]);
    const parsed = schema.safeParse(part === undefined ? undefined : getNodeValue(part));
    if (parsed.success) {
        return ok(parsed.data);
    }
    const faults = parsed.error.issues.map(issue => formatIssue(file, [...at, ...issue.path.map(toPathPart)], issue));
    return err(createRefusal("settingsInvalid", faults.join("\n")));
}

function formatIssue(file: JsoncFile, path: (string | number)[], issue: z.core.$ZodIssue): string {
    const unknownKey = issue.code === "unrecognized_keys" ? issue.keys[0] : undefined;
    const node = findNode(file.root, unknownKey === undefined ? path : [...path, unknownKey]);
    const name = path.length === 0 ? "(top)" : path.join(".");
    return `${formatPlace(file.path, file.text, node.offset)}: ${name}: ${issue.message}`;
}

/** The node at a path, or the nearest one around it. */
function findNode(root: Node, path: readonly (string | number)[]): Node {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            return node;
        }
    }
    return root;
}

function toPathPart(part: PropertyKey): string | number {
    return typeof part === "symbol" ? String(part) : part;
}

function formatPlace(path: string, text: string, offset: number): string {
    const before = text.slice(0, offset).split("\n");
    return `${path}:${before.length}:${before[before.length - 1]!.length + 1}`;
}

function getNodeValue(node: Node): unknown {
    if (node.type === "array") {
        return (node.children ?? []).map(getNodeValue);
    }
    if (node.type !== "object") {
        return node.value as unknown;
    }
    const value: Record<string, unknown> = {};
    for (const property of node.children ?? []) {
        const [key, child] = property.children ?? [];
        if (key !== undefined && child !== undefined) {
            value[key.value as string] = getNodeValue(child);
        }
    }
    return value;
}
