/** Reads JSON with comments and reports errors with line and column. */
import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import type * as z from "zod";
import { createRefusal, type Refusal } from "../domain/resultCodes.js";

/** A parsed file with the text and syntax tree needed to locate errors. */
export interface JsoncFile {
    readonly path: string;
    readonly text: string;
    readonly value: unknown;
    readonly root: Node;
}

/** Reads and parses a file. The error lists every syntax error with its location. */
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

/** Parses text as JSON with comments. Trailing commas are allowed. */
export function parseJsonc(path: string, text: string): Result<JsoncFile, Refusal> {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    if (errors.length > 0 || root === undefined) {
        const messages = errors.map(error =>
            `${formatLocation(path, text, error.offset)}: ${printParseErrorCode(error.error)}`
        );
        return err(
            createRefusal("settingsSyntax", messages.length > 0 ? messages.join("\n") : `${path}: the file is empty`),
        );
    }
    return ok({ path, text, value: getNodeValue(root), root });
}

/** Validates a file, or the value at `basePath`, against a schema. The error lists every issue with its location. */
export function checkJsonc<T>(
    file: JsoncFile,
    schema: z.ZodType<T>,
    basePath: readonly (string | number)[] = [],
): Result<T, Refusal> {
    const node = basePath.length === 0 ? file.root : findNodeAtLocation(file.root, [...basePath]);
    const parsed = schema.safeParse(node === undefined ? undefined : getNodeValue(node));
    if (parsed.success) {
        return ok(parsed.data);
    }
    const messages = parsed.error.issues.map(issue =>
        formatIssue(file, [...basePath, ...issue.path.map(toPathSegment)], issue)
    );
    return err(createRefusal("settingsInvalid", messages.join("\n")));
}

function formatIssue(file: JsoncFile, path: (string | number)[], issue: z.core.$ZodIssue): string {
    const unknownKey = issue.code === "unrecognized_keys" ? issue.keys[0] : undefined;
    const node = findNearestNode(file.root, unknownKey === undefined ? path : [...path, unknownKey]);
    const name = path.length === 0 ? "(top)" : path.join(".");
    return `${formatLocation(file.path, file.text, node.offset)}: ${name}: ${issue.message}`;
}

/** Finds the node at a path, or its nearest existing ancestor. */
function findNearestNode(root: Node, path: readonly (string | number)[]): Node {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            return node;
        }
    }
    return root;
}

function toPathSegment(part: PropertyKey): string | number {
    return typeof part === "symbol" ? String(part) : part;
}

function formatLocation(path: string, text: string, offset: number): string {
    const precedingLines = text.slice(0, offset).split("\n");
    return `${path}:${precedingLines.length}:${precedingLines[precedingLines.length - 1]!.length + 1}`;
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
