/**
 * What one text has that another has not, for texts made of many alike pieces of which few change, such as
 * configurations of thousands of routes.
 */
import * as z from "zod";

const position = z.int().min(0);

/** The steps that make the new text out of the old one: new text, or `[start, end]` of what is taken from the old one. */
export const textChangeSchema = z.array(z.union([z.string(), z.tuple([position, position])]));
export type TextChange = z.infer<typeof textChangeSchema>;

/** Pieces are compared whole. They end with what closes an object of JSON, or with a line. */
const PIECE = /[^}\n]*[}\n]|[^}\n]+$/g;

/** The change from `before` to `after`; its length is that of the pieces that `before` does not have. */
export function computeTextChange(before: string, after: string): TextChange {
    const pieces = before.match(PIECE) ?? [];
    const starts = computeStarts(pieces);
    const found = new Map(pieces.map((piece, i) => [piece, i]));
    const change: TextChange = [];
    // The piece of `before` that follows what was taken last: many pieces stand there more than once.
    let next = 0;
    for (const piece of after.match(PIECE) ?? []) {
        const i = pieces[next] === piece ? next : found.get(piece);
        if (i === undefined) {
            addNew(change, piece);
        }
        else {
            addTaken(change, starts[i]!, starts[i]! + piece.length);
            next = i + 1;
        }
    }
    return change;
}

/** The text that `change` makes out of `before`. */
export function applyTextChange(before: string, change: TextChange): string {
    return change.map(step => typeof step === "string" ? step : before.slice(...step)).join("");
}

function computeStarts(pieces: readonly string[]): number[] {
    let start = 0;
    return pieces.map(piece => {
        start += piece.length;
        return start - piece.length;
    });
}

function addNew(change: TextChange, piece: string): void {
    const last = change.at(-1);
    if (typeof last === "string") {
        change[change.length - 1] = last + piece;
    }
    else {
        change.push(piece);
    }
}

function addTaken(change: TextChange, start: number, end: number): void {
    const last = change.at(-1);
    if (Array.isArray(last) && last[1] === start) {
        last[1] = end;
    }
    else {
        change.push([start, end]);
    }
}
