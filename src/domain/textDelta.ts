/**
 * Computes deltas between texts that consist of many similar segments of which few change, such as configurations with
 * thousands of routes.
 */
import * as z from "zod";

const position = z.int().min(0);

/** Steps that build the new text: literal text, or a `[start, end]` range copied from the old text. */
export const textDeltaSchema = z.array(z.union([z.string(), z.tuple([position, position])]));
export type TextDelta = z.infer<typeof textDeltaSchema>;

/** Segments end at the closing brace of a JSON object or at a line break, and are compared as a whole. */
const SEGMENT_PATTERN = /[^}\n]*[}\n]|[^}\n]+$/g;

/** Its size is about that of the segments that are not in `before`. */
export function computeTextDelta(before: string, after: string): TextDelta {
    const segments = before.match(SEGMENT_PATTERN) ?? [];
    const starts = computeSegmentStarts(segments);
    const indexBySegment = new Map(segments.map((segment, i) => [segment, i]));
    const change: TextDelta = [];
    // Prefer the segment that follows the last copied one: segments can occur more than once.
    let nextIndex = 0;
    for (const segment of after.match(SEGMENT_PATTERN) ?? []) {
        const i = segments[nextIndex] === segment ? nextIndex : indexBySegment.get(segment);
        if (i === undefined) {
            appendText(change, segment);
        }
        else {
            appendRange(change, starts[i]!, starts[i]! + segment.length);
            nextIndex = i + 1;
        }
    }
    return change;
}

export function applyTextDelta(before: string, change: TextDelta): string {
    return change.map(step => typeof step === "string" ? step : before.slice(...step)).join("");
}

function computeSegmentStarts(segments: readonly string[]): number[] {
    let start = 0;
    return segments.map(segment => {
        start += segment.length;
        return start - segment.length;
    });
}

function appendText(change: TextDelta, segment: string): void {
    const last = change.at(-1);
    if (typeof last === "string") {
        change[change.length - 1] = last + segment;
    }
    else {
        change.push(segment);
    }
}

function appendRange(change: TextDelta, start: number, end: number): void {
    const last = change.at(-1);
    if (Array.isArray(last) && last[1] === start) {
        last[1] = end;
    }
    else {
        change.push([start, end]);
    }
}
