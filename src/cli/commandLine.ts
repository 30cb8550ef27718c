/** The command line. Exit codes: 0 success, 1 failure, 2 usage error. */
import yargs, { type Argv } from "yargs";
import { hideBin } from "yargs/helpers";
import { createRefusal, formatRefusal, getRefusal, RefusalError } from "../domain/resultCodes.js";
import { readRoleSettings } from "../settings/roleFile.js";
import { type Role, roleSettings } from "../settings/schemas.js";
import type { OperatorTarget } from "./operatorClient.js";
import * as operators from "./operatorCommands.js";

const EXIT_FAILED = 1;
const EXIT_USAGE_ERROR = 2;
const DEFAULT_SERVER = "http://127.0.0.1:7180";
const DEFAULT_RECORD_LIMIT = 50;

interface TargetOptions {
    readonly server: string;
    readonly token: string | undefined;
}

function addTargetOptions<T>(parser: Argv<T>): Argv<T & TargetOptions> {
    return parser
        .option("server", {
            type: "string",
            default: process.env["LOOMWINCH_SERVER"] ?? DEFAULT_SERVER,
            describe: "URL of a controller's operator API",
        })
        .option("token", {
            type: "string",
            describe: "operator token; prefer the LOOMWINCH_TOKEN environment variable",
        }) as Argv<
            T & TargetOptions
        >;
}

function addOutputOption<T>(parser: Argv<T>): Argv<T & { output: operators.OutputFormat; }> {
    return parser.option("output", {
        alias: "o",
        choices: ["table", "json"] as const,
        default: "table" as const,
    }) as never;
}

function getTarget(args: TargetOptions): OperatorTarget {
    const token = args.token ?? process.env["LOOMWINCH_TOKEN"];
    if (token === undefined) {
        throw new RefusalError(
            createRefusal("operatorUnknown", "no operator token: set LOOMWINCH_TOKEN or pass --token"),
        );
    }
    return { server: args.server, token };
}

function addRoleCommands(cli: Argv): Argv {
    for (const role of Object.keys(roleSettings) as Role[]) {
        cli.command(
            role,
            `run a ${role}`,
            parser =>
                parser.option("settings", {
                    type: "string",
                    demandOption: true,
                    describe: "settings file (JSON with comments)",
                }),
            async args => (await import("./roleCommands.js")).runRole(role, args.settings),
        );
    }
    return cli;
}

function addOperatorCommands(cli: Argv): Argv {
    return cli
        .command(
            "get <kind> [name]",
            "list declared objects",
            parser =>
                addOutputOption(
                    addTargetOptions(
                        parser.positional("kind", { type: "string", demandOption: true }).positional("name", {
                            type: "string",
                        }),
                    ),
                ),
            args => operators.getObjects(getTarget(args), args.kind, args.name, args.output),
        )
        .command(
            "apply",
            "create or update the objects in a file",
            parser =>
                addTargetOptions(parser)
                    .option("file", { alias: "f", type: "string", demandOption: true })
                    .option("operation-id", {
                        type: "string",
                        describe: "idempotency key; use the same one for each retry",
                    }),
            args => operators.applyFile(getTarget(args), args.file, args.operationId),
        )
        .command(
            "delete <kind> <name>",
            "delete a declared object",
            parser =>
                addTargetOptions(
                    parser.positional("kind", { type: "string", demandOption: true }).positional("name", {
                        type: "string",
                        demandOption: true,
                    }),
                )
                    .option("revision", { type: "number", describe: "delete only if the object has this revision" }),
            args => operators.deleteObject(getTarget(args), args.kind, args.name, args.revision),
        )
        .command(
            "watch",
            "stream changes of declared objects",
            parser =>
                addTargetOptions(parser).option("from", {
                    type: "number",
                    default: 0,
                    describe: "start after this revision",
                }),
            args => operators.watchObjects(getTarget(args), args.from),
        )
        .command(
            "top-up <budget> <tokens>",
            "add prepaid tokens to a budget",
            parser =>
                addTargetOptions(
                    parser.positional("budget", { type: "string", demandOption: true }).positional("tokens", {
                        type: "number",
                        demandOption: true,
                    }),
                )
                    .option("operation-id", {
                        type: "string",
                        describe: "idempotency key; use the same one for each retry",
                    })
                    .option("home", {
                        type: "string",
                        describe: "controller that processes the top-up; use the same one for each retry",
                    }),
            args => operators.topUp(getTarget(args), args.budget, args.tokens, args.operationId, args.home),
        )
        .command(
            "release <budget> <tokens>",
            "release tokens recorded as unaccounted in this controller's ledger",
            parser =>
                addTargetOptions(
                    parser.positional("budget", { type: "string", demandOption: true }).positional("tokens", {
                        type: "number",
                        demandOption: true,
                    }),
                ),
            args => operators.releaseUnaccounted(getTarget(args), args.budget, args.tokens),
        )
        .command(
            "audit",
            "show the newest records of the audit trail",
            parser =>
                addOutputOption(addTargetOptions(parser)).option("limit", {
                    type: "number",
                    default: DEFAULT_RECORD_LIMIT,
                }),
            args => operators.printRecords(getTarget(args), "audit", args.limit, args.output),
        )
        .command(
            "bills",
            "show the newest bills of this controller's ledger",
            parser =>
                addOutputOption(addTargetOptions(parser)).option("limit", {
                    type: "number",
                    default: DEFAULT_RECORD_LIMIT,
                }),
            args => operators.printRecords(getTarget(args), "bills", args.limit, args.output),
        )
        .command(
            "status",
            "show the fleet at a glance",
            parser => addOutputOption(addTargetOptions(parser)).option("watch", { type: "boolean", default: false }),
            args => operators.printStatus(getTarget(args), args.watch, args.output),
        );
}

function addToolCommands(cli: Argv): Argv {
    return cli
        .command(
            "check-settings <file>",
            "validate a settings file",
            parser => parser.positional("file", { type: "string", demandOption: true }),
            args => checkSettings(args.file),
        )
        .command(
            "create-key <account>",
            "generate a bearer key for a client account and the hash to declare",
            parser => parser.positional("account", { type: "string", demandOption: true }),
            args => operators.printNewKey(args.account),
        )
        .command(
            "hash-token <token>",
            "compute the hash of an operator token for a controller's settings",
            parser => parser.positional("token", { type: "string", demandOption: true }),
            args => operators.printTokenHash(args.token),
        )
        .command("result-codes", "print the table of result codes", {}, async () => {
            process.stdout.write(`${(await import("./resultCodeTable.js")).formatResultCodeTable()}\n`);
        })
        .command(
            "explain <request> <log..>",
            "print the log lines of a request in chronological order and mark the cause of a refusal",
            parser =>
                parser.positional("request", { type: "string", demandOption: true })
                    .positional("log", { type: "string", array: true, demandOption: true }),
            async args => (await import("./explainCommand.js")).explainRequest(args.request, args.log),
        )
        .command(
            "losses <log..>",
            "count request outcomes by route, and the causes of late and refused requests",
            parser =>
                parser.positional("log", { type: "string", array: true, demandOption: true })
                    .option("pauseLimit", {
                        type: "number",
                        default: 400,
                        describe: "longest pause within a stream that counts as in time, in milliseconds",
                    }),
            async args => (await import("./lossesCommand.js")).printLosses(args.log, args.pauseLimit),
        )
        .command(
            "replay <trace>",
            "replay a trace against a running fleet and check the outcome",
            parser =>
                parser.positional("trace", { type: "string", demandOption: true })
                    .option("expect", {
                        type: "string",
                        demandOption: true,
                        describe: "expected outcome (JSON with comments)",
                    })
                    .option("fleet", {
                        type: "string",
                        demandOption: true,
                        describe: "addresses of the fleet (JSON with comments)",
                    }),
            async args => (await import("./replayCommand.js")).runReplay(args.trace, args.expect, args.fleet),
        )
        .command(
            "quickstart",
            "run a demo fleet in one process and exit",
            parser =>
                parser.option("settings", { type: "string", demandOption: true }).option("data", {
                    type: "string",
                    describe: "data folder; overrides the settings file",
                }),
            async args => (await import("./quickstart.js")).runQuickstart(args.settings, args.data),
        );
}

async function checkSettings(path: string): Promise<void> {
    const settings = await readRoleSettings(path);
    if (settings.isErr()) {
        throw new RefusalError(settings.error);
    }
    operators.printKeyValues({ ok: path, role: settings.value.role });
}

async function main(): Promise<void> {
    const cli = yargs(hideBin(process.argv)).scriptName("loomwinch").strict().demandCommand(1, "no command given")
        .wrap(110).help();
    addRoleCommands(cli);
    addOperatorCommands(cli);
    addToolCommands(cli);
    cli.fail((message: string | undefined, error: unknown) => {
        if (error !== undefined && error !== null) {
            throw error;
        }
        process.stderr.write(`${message}\nTry loomwinch --help\n`);
        process.exit(EXIT_USAGE_ERROR);
    });
    try {
        await cli.parseAsync();
    }
    catch (error) {
        process.stderr.write(`${formatRefusal(getRefusal(error))}\n`);
        process.exit(EXIT_FAILED);
    }
}

await main();
