/** Tests that the log lines of one request are collected from several files and the cause of a refusal is marked. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { explainRequest, formatTimeline, tryParseLogLine } from "../../src/cli/explainCommand.js";

function createLine(second: number, name: string, event: string, rest: string): string {
    return `time=2026-01-01T00:00:0${second}.000Z level=info role=router name=${name} zone=z event=${event} ${rest}`;
}

const ATTEMPT = createLine(1, "r1", "attempt_ended", "request=q1 upstream=e1 reason=\"status 503\"");
const TOKENS = createLine(2, "r2", "tokens_not_reserved", "request=q1 account=a wanted_tokens=900 room_tokens=20");
const REFUSED = createLine(2, "r2", "request_refused", "request=q1 refusal=\"LW1203 budgetUnreachable: a\" ran=no");
const OTHER = createLine(0, "r1", "request_answered", "request=q10 status=200");

void t.test("lines are sorted by time and the cause of a refusal is marked", t => {
    const lines = [TOKENS, REFUSED, ATTEMPT].map(text => tryParseLogLine(text)!);
    t.same(formatTimeline(lines), [
        "  2026-01-01T00:00:01.000Z r1 attempt_ended upstream=e1 reason=\"status 503\"",
        "* 2026-01-01T00:00:02.000Z r2 tokens_not_reserved account=a wanted_tokens=900 room_tokens=20",
        "  2026-01-01T00:00:02.000Z r2 request_refused refusal=\"LW1203 budgetUnreachable: a\" ran=no",
    ]);
    t.end();
});

void t.test("the cause of a stream that could not be resumed is marked", t => {
    const cause = "request=q1 resumes=q0 cause=originUnreachable asked=3 answered=1";
    const notResumed = createLine(1, "r1", "stream_not_resumed", cause);
    const refused = createLine(1, "r1", "request_refused", "request=q1 refusal=\"LW1314 streamOriginUnknown\" ran=no");
    t.match(formatTimeline([notResumed, refused].map(text => tryParseLogLine(text)!)), [
        /^\* .* stream_not_resumed resumes=q0 cause=originUnreachable asked=3 answered=1$/,
        /^ {2}.* request_refused /,
    ]);
    t.end();
});

void t.test("a refusal without a preceding cause is marked itself; an answer is not marked", t => {
    t.match(formatTimeline([tryParseLogLine(REFUSED)!])[0], /^\* .* request_refused /);
    t.match(formatTimeline([tryParseLogLine(OTHER)!])[0], /^ {2}.* request_answered /);
    t.end();
});

void t.test("lines without the required fields are ignored, and an invalid quoted value is kept unchanged", t => {
    t.equal(tryParseLogLine("q1 something else"), undefined);
    t.equal(tryParseLogLine(createLine(1, "r1", "x", "reason=\"\\x\""))?.fields.get("reason"), "\"\\x\"");
    t.end();
});

void t.test("files are read to the end, and a missing request or file is reported with a result code", async t => {
    const folder = await mkdtemp(join(tmpdir(), "loomwinch-explain-"));
    t.teardown(() => rm(folder, { recursive: true }));
    const [first, second] = [join(folder, "r1.log"), join(folder, "r2.log")];
    await writeFile(first, `${OTHER}\n${ATTEMPT}\n`);
    await writeFile(second, `torn q1 line\n${TOKENS}\n${REFUSED}`);
    const written = t.capture(process.stdout, "write", () => true);
    await explainRequest("q1", [first, second]);
    const lines = written().map(call => String(call.args[0]));
    t.equal(lines.length, 3, "includes the last line without a line break, and no line of another request");
    await t.rejects(explainRequest("q2", [first]), { message: /notFound/ });
    await t.rejects(explainRequest("q1", [join(folder, "none.log")]), { message: /notFound/ });
});

void t.test("a quarantine is explained by the requests that ended upstreams", async t => {
    const folder = await mkdtemp(join(tmpdir(), "loomwinch-explain-"));
    t.teardown(() => rm(folder, { recursive: true }));
    const path = join(folder, "r1.log");
    const lines = [
        createLine(
            1,
            "r1",
            "attempt_ended",
            "request=q7 upstream=e1 fingerprint=ff shared=route:r,part:x answer_ms=50",
        ),
        createLine(
            1,
            "r1",
            "attempt_ended",
            "request=q8 upstream=e1 fingerprint=fe shared=route:r,part:y answer_ms=90",
        ),
        createLine(2, "c1", "request_quarantined", "quarantine=part:x upstreams=e1,e2,e3"),
        createLine(3, "r1", "request_refused", "request=q1 refusal=\"LW1506 requestQuarantined: part:x\" ran=no"),
    ];
    await writeFile(path, lines.join("\n"));
    const written = t.capture(process.stdout, "write", () => true);
    await explainRequest("q1", [path]);
    t.match(written().map(call => String(call.args[0])), [
        /^ {2}.* attempt_ended request=q7 upstream=e1 .*part:x/,
        /^\* .* request_quarantined quarantine=part:x upstreams=e1,e2,e3/,
        /^ {2}.* request_refused /,
    ]);
});

void t.test("a lifted quarantine is explained by the requests whose answers cleared it", async t => {
    const folder = await mkdtemp(join(tmpdir(), "loomwinch-explain-"));
    t.teardown(() => rm(folder, { recursive: true }));
    const path = join(folder, "r1.log");
    const refusal = "LW1506 requestQuarantined: account:a,part:x";
    const lines = [
        createLine(1, "c1", "request_quarantined", "quarantine=account:a,part:x upstreams=e1,e2,e3"),
        createLine(2, "r1", "request_refused", `request=q1 refusal="${refusal}" ran=no`),
        createLine(3, "r2", "suspect_cleared", "request=q8 attribute=part:y up_to=9"),
        createLine(3, "r2", "suspect_cleared", "request=q9 attribute=part:x up_to=9"),
        createLine(4, "c1", "quarantine_lifted", "quarantine=account:a,part:x reason=survivor by=part:x index=10"),
        createLine(4, "c1", "quarantine_lifted", "quarantine=part:x reason=expired"),
    ];
    await writeFile(path, lines.join("\n"));
    const written = t.capture(process.stdout, "write", () => true);
    await explainRequest("q1", [path]);
    t.match(written().map(call => String(call.args[0])), [
        /^\* .* request_quarantined /,
        /^ {2}.* request_refused /,
        /^ {2}.* suspect_cleared request=q9 attribute=part:x/,
        /^ {2}.* quarantine_lifted quarantine=account:a,part:x reason=survivor by=part:x/,
    ]);
});

void t.test("an answer whose caller left is shown with the time from the close to each step, also at the router that relayed it", async t => {
    const folder = await mkdtemp(join(tmpdir(), "loomwinch-explain-"));
    t.teardown(() => rm(folder, { recursive: true }));
    const path = join(folder, "all.log");
    const lines = [
        createLine(0, "r2", "router_started", "incarnation=abc"),
        createLine(1, "r2", "relay_caller_closed", "router=r1 close_age_ms=180 port=4711"),
        createLine(1, "r2", "relay_caller_closed", "router=r1 close_age_ms=5 port=4712"),
        createLine(1, "r3", "relay_caller_closed", "router=r1 close_age_ms=6 port=4711"),
        createLine(
            2,
            "r1",
            "answer_undelivered",
            "request=q1 cause=relayClosed relay=abc relay_port=4711 close_age_ms=40",
        ),
        createLine(3, "r1", "attempt_stopped", "request=q1 upstream=e1 close_age_ms=41 took_ms=12"),
    ];
    await writeFile(path, lines.join("\n"));
    const written = t.capture(process.stdout, "write", () => true);
    await explainRequest("q1", [path]);
    const printed = written().map(call => String(call.args[0]));
    t.match(printed, [
        / r2 relay_caller_closed router=r1 close_age_ms=180 port=4711/,
        / r1 answer_undelivered .*close_age_ms=40/,
        / r1 attempt_stopped upstream=e1 close_age_ms=41 took_ms=12/,
    ]);
    t.equal(printed.length, 3);
});

void t.test("an answer that was not delivered is shown with the stops of its router and of the one that relayed it", async t => {
    const folder = await mkdtemp(join(tmpdir(), "loomwinch-explain-"));
    t.teardown(() => rm(folder, { recursive: true }));
    const [serving, relaying] = [join(folder, "r1.log"), join(folder, "r2.log")];
    await writeFile(
        serving,
        createLine(5, "r1", "answer_undelivered", "request=q1 cause=relayClosed relay=abc") + "\n",
    );
    await writeFile(
        relaying,
        [
            createLine(0, "r2", "router_started", "incarnation=abc"),
            createLine(2, "r2", "stop_progress", "stage=announced relayed=1"),
            createLine(3, "r3", "stop_progress", "stage=announced relayed=0"),
        ].join("\n"),
    );
    const written = t.capture(process.stdout, "write", () => true);
    await explainRequest("q1", [serving, relaying]);
    t.match(written().map(call => String(call.args[0])), [
        / r2 stop_progress stage=announced relayed=1/,
        / r1 answer_undelivered cause=relayClosed relay=abc/,
    ]);
    t.equal(written().length, 2);
});
