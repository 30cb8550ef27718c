/** Keeps the names of the platform's protocol out of src/; only platform/ may depend on them. */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import t from "tap";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "..");
const WIRE_NAMES = new RegExp(
    [
        "attempt-id",
        "instance-signature",
        "prefix-hash",
        "expect-instance",
        "not-executed",
        "(?<!x-loomwinch-)deadline-ms",
        "token-usage",
        "request-priority",
        "config_rev",
        "api_keys",
        "max_conns",
        "loomwinch/(instances|config|report|readyz)",
    ].join("|"),
    "i",
);

void t.test("no source file in src uses a name of the platform's protocol", t => {
    const files = readdirSync(join(root, "src"), { recursive: true, encoding: "utf8" }).filter(file =>
        file.endsWith(".ts")
    );
    t.ok(files.length > 50);
    const filesWithWireNames = files.filter(file => WIRE_NAMES.test(readFileSync(join(root, "src", file), "utf8")));
    t.same(filesWithWireNames, []);
    t.end();
});
