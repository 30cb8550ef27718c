/** Guards against log events that are missing from docs/LOGS.md, and documented events that are no longer logged. */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import t from "tap";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "..");
const LOG_CALL = /(?:log|events)\??\.(?:info|warn|error)\(\s*(?:[a-zA-Z]+ \? )?"([a-z_]+)"(?: : "([a-z_]+)")?/g;

function findEvents(folder: string): string[] {
    return readdirSync(join(root, folder), { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts"))
        .flatMap(file => [...readFileSync(join(root, folder, file), "utf8").matchAll(LOG_CALL)])
        .flatMap(match => [match[1]!, match[2]])
        .filter(event => event !== undefined);
}

void t.test("docs/LOGS.md lists exactly the events that the code logs", t => {
    const logged = new Set([...findEvents("src"), ...findEvents("platform")]);
    const page = readFileSync(join(root, "docs", "LOGS.md"), "utf8");
    const rows = page.split("\n").filter(line => line.startsWith("| `")).map(line => line.split("|")[1]!);
    const listed = new Set(rows.flatMap(row => [...row.matchAll(/`([a-z_]+)`/g)].map(match => match[1]!)));
    t.same([...logged].filter(event => !listed.has(event)).sort(), [], "logged but not documented");
    t.same([...listed].filter(event => !logged.has(event)).sort(), [], "documented but not logged");
    t.ok(logged.size > 50);
    t.end();
});
