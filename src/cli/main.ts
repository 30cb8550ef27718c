#!/usr/bin/env node
/** The command line. Exit codes: 0 done, 1 refused or failed, 2 wrong use. */
import yargs, { type Argv } from "yargs";
import { hideBin } from "yargs/helpers";
import { createRefusal, formatRefusal, getRefusal, RefusalError } from "../domain/resultCodes.js";
import { readRoleSettings } from "../settings/roleFile.js";
import { type Role, roleSettings } from "../settings/schemas.js";
import type { OperatorTarget } from "./operatorClient.js";
import * as operators from "./operatorCommands.js";

const EXIT_FAILED = 1;
const EXIT_WRONG_USE = 2;
const DEFAULT_SERVER = "http://127.0.0.1:7180";
const DEFAULT_ROWS = 50;

interface TargetArguments {
    readonly server: string;
    readonly token: string | undefined;
}

function addTarget<T>(parser: Argv<T>): Argv<T & TargetArguments> {
    return parser
        .option("server", {
            type: "string",
            default: process.env["LOOMWINCH_SERVER"] ?? DEFAULT_SERVER,
            describe: "a controller's resource API",
        })
        .option("token", { type: "string", describe: "operator's token; better in LOOMWINCH_TOKEN" }) as Argv<
            T & TargetArguments
        >;
}

function addOutput<T>(parser: Argv<T>): Argv<T & { output: operators.OutputFormat; }> {
    return parser.option("output", {
        alias: "o",
        choices: ["table", "json"] as const,
        default: "table" as const,
    }) as never;
}

function getTarget(args: TargetArguments): OperatorTarget {
    const token = args.token ?? process.env["LOOMWINCH_TOKEN"];
    if (token === undefined) {
        throw new RefusalError(createRefusal("operatorUnknown", "set LOOMWINCH_TOKEN or give --token"));
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
                    describe: "settings file, JSON with comments",
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
            "show declared objects",
            parser =>
                addOutput(
                    addTarget(
                        parser.positional("kind", { type: "string", demandOption: true }).positional("name", {
                            type: "string",
                        }),
                    ),
                ),
            args => operators.getObjects(getTarget(args), args.kind, args.name, args.output),
        )
        .command(
            "apply",
            "declare the objects of a file",
            parser =>
                addTarget(parser)
                    .option("file", { alias: "f", type: "string", demandOption: true })
                    .option("operation-id", { type: "string", describe: "the same at each resend" }),
            args => operators.applyFile(getTarget(args), args.file, args.operationId),
        )
        .command(
            "delete <kind> <name>",
            "remove a declared object",
            parser =>
                addTarget(
                    parser.positional("kind", { type: "string", demandOption: true }).positional("name", {
                        type: "string",
                        demandOption: true,
                    }),
                )
                    .option("revision", { type: "number", describe: "only if it is at this revision" }),
            args => operators.deleteObject(getTarget(args), args.kind, args.name, args.revision),
        )
        .command(
            "watch",
            "follow the changes of declared objects",
            parser =>
                addTarget(parser).option("from", { type: "number", default: 0, describe: "revision to start after" }),
            args => operators.watchObjects(getTarget(args), args.from),
        )
        .command(
            "top-up <budget> <tokens>",
            "add prepaid tokens to a budget",
            parser =>
                addTarget(
                    parser.positional("budget", { type: "string", demandOption: true }).positional("tokens", {
                        type: "number",
                        demandOption: true,
                    }),
                )
                    .option("operation-id", { type: "string", describe: "the same at each resend" })
                    .option("home", {
                        type: "string",
                        describe: "controller that accepts it; the same at each resend",
                    }),
            args => operators.topUp(getTarget(args), args.budget, args.tokens, args.operationId, args.home),
        )
        .command(
            "release <budget> <tokens>",
            "free tokens that were written off as unaccounted in this controller's ledger",
            parser =>
                addTarget(
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
            parser => addOutput(addTarget(parser)).option("limit", { type: "number", default: DEFAULT_ROWS }),
            args => operators.printRecords(getTarget(args), "audit", args.limit, args.output),
        )
        .command(
            "bills",
            "show the newest bills of this controller's ledger",
            parser => addOutput(addTarget(parser)).option("limit", { type: "number", default: DEFAULT_ROWS }),
            args => operators.printRecords(getTarget(args), "bills", args.limit, args.output),
        )
        .command(
            "status",
            "show the fleet at a glance",
            parser => addOutput(addTarget(parser)).option("watch", { type: "boolean", default: false }),
            args => operators.printStatus(getTarget(args), args.watch, args.output),
        );
}

function addToolCommands(cli: Argv): Argv {
    return cli
        .command(
            "check-settings <file>",
            "check a settings file",
            parser => parser.positional("file", { type: "string", demandOption: true }),
            args => checkSettings(args.file),
        )
        .command(
            "create-key <account>",
            "make a bearer key for a client account, and the hash to declare",
            parser => parser.positional("account", { type: "string", demandOption: true }),
            args => operators.printNewKey(args.account),
        )
        .command(
            "hash-token <token>",
            "make the hash of an operator's token for a controller's settings",
            parser => parser.positional("token", { type: "string", demandOption: true }),
            args => operators.printTokenHash(args.token),
        )
        .command("result-codes", "print the table of result codes", {}, async () => {
            process.stdout.write(`${(await import("./resultCodeTable.js")).formatResultCodeTable()}\n`);
        })
        .command(
            "explain <request> <log..>",
            "print what processes logged of one request, in order, with what decided on a refusal marked",
            parser =>
                parser.positional("request", { type: "string", demandOption: true })
                    .positional("log", { type: "string", array: true, demandOption: true }),
            async args => (await import("./explainCommand.js")).explainRequest(args.request, args.log),
        )
        .command(
            "losses <log..>",
            "count what became of requests by route, and why answers were late or refused",
            parser =>
                parser.positional("log", { type: "string", array: true, demandOption: true })
                    .option("pauseLimit", {
                        type: "number",
                        default: 400,
                        describe: "longest pause within a stream that is in time, in milliseconds",
                    }),
            async args => (await import("./lossesCommand.js")).printLosses(args.log, args.pauseLimit),
        )
        .command(
            "replay <trace>",
            "replay a trace at a running fleet and judge the outcome",
            parser =>
                parser.positional("trace", { type: "string", demandOption: true })
                    .option("expect", {
                        type: "string",
                        demandOption: true,
                        describe: "stated outcome, JSON with comments",
                    })
                    .option("fleet", {
                        type: "string",
                        demandOption: true,
                        describe: "addresses of the fleet, JSON with comments",
                    }),
            async args => (await import("./replayCommand.js")).runReplay(args.trace, args.expect, args.fleet),
        )
        .command(
            "quickstart",
            "run the main job in one process and end",
            parser =>
                parser.option("settings", { type: "string", demandOption: true }).option("data", {
                    type: "string",
                    describe: "data folder in place of the settings' one",
                }),
            async args => (await import("./quickstart.js")).runQuickstart(args.settings, args.data),
        );
}

async function checkSettings(path: string): Promise<void> {
    const settings = await readRoleSettings(path);
    if (settings.isErr()) {
        throw new RefusalError(settings.error);
    }
    operators.printPairs({ ok: path, role: settings.value.role });
}

/** Runs the command line and sets the exit code. */
async function main(): Promise<void> {
    const cli = yargs(hideBin(process.argv)).scriptName("loomwinch").strict().demandCommand(1, "a command is needed")
        .wrap(110).help();
    addRoleCommands(cli);
    addOperatorCommands(cli);
    addToolCommands(cli);
    cli.fail((message: string | undefined, error: unknown) => {
        if (error !== undefined && error !== null) {
            throw error;
        }
        process.stderr.write(`${message}\nTry loomwinch --help\n`);
        process.exit(EXIT_WRONG_USE);
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
