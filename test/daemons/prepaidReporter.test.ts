/** Reports of prepaid tokens: a request that waits is heard, whatever the reporter is doing when it begins to wait. */
import t from "tap";
import { PrepaidReporter } from "../../src/daemons/directRouter/prepaidReporter.js";
import type { PrepaidReportCommand } from "../../src/domain/bundleCommands.js";
import { LocalTokenBudget } from "../../src/domain/localTokenBudget.js";
import type { PrepaidResult } from "../../src/domain/prepaidLedger.js";
import { SystemClock } from "../../src/ports/clock.js";
import type { Log } from "../../src/ports/log.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { settlePromises } from "../tools/fakes.js";
import { testTokenBudgetOptions } from "../tools/prepaidSimulation.js";
import { waitUntil } from "../tools/waiting.js";

/** Longer than any test: a report that comes was asked for. */
const NEVER_MS = 600_000;
const PREPAID = 100_000;
const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };

/** A controller whose answers are given one by one by the test. */
class HeldNetwork extends PeerNetwork {
    readonly reports: PrepaidReportCommand[] = [];
    private readonly answers: (() => void)[] = [];

    override connect(): Promise<Peer> {
        return Promise.reject(new Error("not used"));
    }

    override call<P, R>(_address: string, _method: PeerMethod<P, R>, params: P): Promise<R> {
        const { report } = params as { report: PrepaidReportCommand; };
        this.reports.push(report);
        return new Promise(resolve => this.answers.push(() => resolve(createAnswer(report) as R)));
    }

    answerNext(): void {
        this.answers.shift()!();
    }
}

/** Grants what a report wants. */
function createAnswer(report: PrepaidReportCommand): PrepaidResult {
    const accounts = report.accounts.map(({ account, committed, wanted }) => ({
        account,
        granted: committed + wanted,
        free: PREPAID - committed - wanted,
        prepaid: PREPAID,
        writtenOff: 0,
        burst: 0,
    }));
    return { type: "prepaid", taken: true, awaitsConfirmation: false, routers: 1, accounts };
}

const OPTIONS = { periodMs: NEVER_MS, urgentPauseMs: 1, callTimeoutMs: NEVER_MS };

void t.test("a request that begins to wait while a report is under way is in the next one, at once", async t => {
    const network = new HeldNetwork();
    const purse = new LocalTokenBudget("r1", "i1", testTokenBudgetOptions);
    purse.setLimits([{ account: "a", tokens: PREPAID }]);
    const options = { ...OPTIONS, closingTimeoutMs: 500 };
    const reporter = new PrepaidReporter(purse, network, new SystemClock(), NO_LOG, () => ["c1"], options);
    const running = reporter.run();
    await waitUntil("the first report", () => network.reports.length === 1);

    purse.addWaiting("a", 5_000);
    let isGranted = false;
    void reporter.waitGrant(NEVER_MS).then(() => isGranted = true);
    network.answerNext();
    await settlePromises();
    t.notOk(isGranted, "the report under way does not know of the request");

    await waitUntil("a report that tells of it", () => network.reports.length === 2);
    t.equal(network.reports[1]!.accounts[0]!.committed, 5_000);
    network.answerNext();
    await waitUntil("the grant", () => isGranted);

    reporter.askReport();
    await waitUntil("a last report", () => network.reports.length === 3);
    const stopped = reporter.stop();
    network.answerNext();
    network.answerNext();
    await Promise.all([stopped, running]);
});

void t.test("a router that reaches no controller does not hold up its planned stop", async t => {
    const network = new HeldNetwork();
    const purse = new LocalTokenBudget("r1", "i1", testTokenBudgetOptions);
    purse.setLimits([{ account: "a", tokens: PREPAID }]);
    const options = { ...OPTIONS, closingTimeoutMs: 20 };
    const reporter = new PrepaidReporter(purse, network, new SystemClock(), NO_LOG, () => ["c1", "c2"], options);
    await reporter.stop();
    t.equal(network.reports.length, 1);
    t.equal(network.reports[0]!.closing, true);
});
