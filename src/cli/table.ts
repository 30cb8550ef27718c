/** Formats rows as a table with aligned columns. */
export function formatTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => (row[column] ?? "").length))
    );
    const formatRow = (row: readonly string[]): string =>
        row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd();
    return [headings, ...rows].map(formatRow).join("\n");
}
