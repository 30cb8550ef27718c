/** `loomwinch result-codes`: the table of result codes as docs/RESULT-CODES.md has it. */
import { ResultCodes } from "../domain/resultCodes.js";

export function formatResultCodeTable(): string {
    const rows = Object.values(ResultCodes).map(row =>
        `| LW${row.number} | \`${row.name}\` | ${row.status} | ${row.message} |`
    );
    return ["| number | name | HTTP status | meaning |", "| --- | --- | --- | --- |", ...rows].join("\n");
}
