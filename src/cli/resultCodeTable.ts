/** `loomwinch result-codes`: formats the result codes as the Markdown table of docs/RESULT-CODES.md. */
import { ResultCodes } from "../domain/resultCodes.js";

export function formatResultCodeTable(): string {
    const rows = Object.values(ResultCodes).map(row =>
        `| LW${row.number} | \`${row.name}\` | ${row.status} | ${row.message} |`
    );
    return ["| number | name | HTTP status | meaning |", "| --- | --- | --- | --- |", ...rows].join("\n");
}
