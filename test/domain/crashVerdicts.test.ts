/** What lifts a culprit, what remains of one after survivors with some of its attributes, and how many are retained. */
import t from "tap";
import { computeBlockMs } from "../../src/domain/crashSuspects.js";
import { UpstreamEndStore } from "../../src/domain/upstreamEndStore.js";

const FULL_BLOCK_MS = 1_800_000;
const MIN_BLOCK_MS = 30_000;
const EXPLAINED_BLOCK_MS = 3_000;
const MAX_CULPRITS = 64;

interface RunOptions {
    readonly content?: string;
    readonly answerMs?: number;
}

class Play {
    readonly store = new UpstreamEndStore();
    private lastLife = 0;

    /** Records the end of another upstream that interrupted one request, the same one only if its content is given. */
    end(shared: readonly string[], { content, answerMs }: RunOptions = {}): void {
        this.lastLife += 1;
        const request = {
            fingerprint: content ?? `own ${this.lastLife}`,
            hasBegun: answerMs !== undefined,
            answerMs,
            shared: [...shared],
        };
        const life = `u${this.lastLife}`;
        this.store.applyRecord({ type: "recordUpstreamEnd", life, requests: [request] }, this.nextIndex());
    }

    /** Records the end of another upstream that interrupted one request of new content with each part. */
    endWith(runs: readonly { readonly part: string; readonly answerMs: number; }[]): void {
        this.lastLife += 1;
        const life = `u${this.lastLife}`;
        const requests = runs.map(({ part, answerMs }) => ({
            fingerprint: `own ${life} ${part}`,
            hasBegun: true,
            answerMs,
            shared: [part],
        }));
        this.store.applyRecord({ type: "recordUpstreamEnd", life, requests }, this.nextIndex());
    }

    /** `upTo`: log index of the last end that the survivors say something about; the newest by default. */
    survive(attributes: readonly string[], upTo = this.store.getLastIndex()): void {
        const cleared = attributes.map(attribute => ({ attribute, upTo }));
        this.store.applyClear({ type: "clearAttributes", cleared }, this.nextIndex());
    }

    expire(upTo = this.store.getLastIndex()): void {
        this.store.applyForget({ type: "forgetUpstreamEnds", upTo }, this.nextIndex());
    }

    listBlocked(): string[] {
        return this.store.getSuspects().filter(({ isCulprit }) => isCulprit).map(({ attributes }) =>
            attributes.join(" ")
        );
    }

    /** Attributes, reason and cause of the culprits that were lifted since the last call. */
    takeLifted(): string[] {
        return this.store.takeLifted().map(({ attributes, reason, by }) =>
            [attributes.join(" "), reason, by.join(" ")].join(", ")
        );
    }

    private nextIndex(): number {
        return this.store.getLastIndex() + 1;
    }
}

function playEnds(count: number, shared: readonly string[], options?: RunOptions): Play {
    const play = new Play();
    for (let i = 0; i < count; i++) {
        play.end(shared, options);
    }
    return play;
}

void t.test("a request whose answers had not begun stays blocked while others are reported at its ends", async t => {
    const play = playEnds(3, ["route:r", "account:a"], { content: "p" });
    t.same(play.listBlocked(), ["account:a content:p route:r"]);
    play.end(["route:r", "account:b"]);
    play.survive(["route:r", "account:a"]);
    t.same(play.listBlocked(), ["content:p"]);
    t.same(play.takeLifted(), ["account:a content:p route:r, replaced, content:p"]);
    t.equal(computeBlockMs(play.store.getSuspects()[0]!), FULL_BLOCK_MS);
});

void t.test("a survivor with a culprit's content lifts it, and does not turn it into one of the whole route", async t => {
    const play = playEnds(3, ["route:r"], { content: "p" });
    play.survive(["content:p"]);
    t.same(play.listBlocked(), []);
    t.same(play.takeLifted(), ["content:p route:r, survivor, content:p"]);
});

void t.test("a survivor says nothing about later ends", async t => {
    const play = playEnds(5, ["part:x"], { answerMs: 50 });
    play.survive(["part:x"], 2);
    t.same(play.listBlocked(), ["part:x"]);
    play.survive(["part:x"], 4);
    t.same(play.listBlocked(), ["part:x"]);
    play.survive(["part:x"], 5);
    t.same(play.listBlocked(), []);
    t.same(play.takeLifted(), ["part:x, survivor, part:x"]);
});

void t.test("a route that is blocked because nothing on it survived is lifted by its first survivor", async t => {
    const play = playEnds(8, ["route:r", "part:x"], { answerMs: 50 });
    t.same(play.listBlocked(), ["part:x route:r"]);
    play.survive(["route:r", "part:x"], 1);
    t.same(play.listBlocked(), []);
    t.same(play.takeLifted(), ["part:x route:r, survivor, route:r part:x"]);
});

void t.test("a culprit whose ends have expired is blocked by one more end, unless its requests survived", async t => {
    const play = playEnds(3, ["part:x"], { answerMs: 50 });
    play.expire();
    t.same(play.takeLifted(), ["part:x, expired, "]);
    play.end(["part:x"], { answerMs: 50 });
    t.same(play.listBlocked(), ["part:x"]);
    play.expire();
    t.ok(play.store.canClear("part:x", play.store.getLastIndex()));
    play.survive(["part:x"]);
    play.end(["part:x"], { answerMs: 50 });
    t.same(play.listBlocked(), []);
});

void t.test("what requests shared whose answers had not begun is convicted later than what had begun", async t => {
    const shared = ["account:a"];
    t.same(playEnds(3, shared, { answerMs: 50 }).listBlocked(), ["account:a"]);
    t.same(playEnds(4, shared).listBlocked(), []);
    t.same(playEnds(5, shared).listBlocked(), ["account:a"]);
});

void t.test("a culprit of which a part explains another end gives way to that part", async t => {
    const play = new Play();
    for (let i = 0; i < 3; i++) {
        play.end(["part:x", "part:i"], { answerMs: 50 });
    }
    t.same(play.listBlocked(), ["part:i part:x"]);
    play.end(["part:x"], { answerMs: 50 });
    t.same(play.listBlocked(), ["part:x"], "requests that have both parts are blocked still");
    t.same(play.takeLifted(), ["part:i part:x, replaced, part:x"]);
});

void t.test("a culprit all of whose ends another one explains is blocked for seconds", async t => {
    const play = new Play();
    const [soon, later] = [{ part: "part:i", answerMs: 10 }, { part: "part:x", answerMs: 900 }];
    for (let i = 0; i < 3; i++) {
        play.endWith([soon, later]);
    }
    t.same(play.listBlocked(), ["part:i"]);
    play.endWith([later]);
    const blockMs = new Map(
        play.store.getSuspects().map(suspect => [suspect.attributes.join(" "), computeBlockMs(suspect)]),
    );
    t.same(play.listBlocked(), ["part:x", "part:i"]);
    t.equal(blockMs.get("part:i"), EXPLAINED_BLOCK_MS);
    t.ok(blockMs.get("part:x")! >= MIN_BLOCK_MS);
});

void t.test("the culprit whose last end is the oldest gives way, and the reason is told", async t => {
    const play = new Play();
    for (let i = 0; i <= MAX_CULPRITS; i++) {
        for (let j = 0; j < 3; j++) {
            play.end([`part:${i}`], { answerMs: 50 });
        }
    }
    t.equal(play.listBlocked().length, MAX_CULPRITS);
    t.same(play.takeLifted(), ["part:0, evicted, "]);
});

void t.test("two expired culprits of which the same remains are one", async t => {
    const play = playEnds(3, ["account:a", "part:x"], { answerMs: 50 });
    play.expire();
    for (let i = 0; i < 3; i++) {
        play.end(["account:b", "part:x"], { answerMs: 50 });
    }
    play.expire();
    play.survive(["account:a", "account:b"]);
    play.end(["part:x"], { answerMs: 50 });
    t.same(play.listBlocked(), ["part:x"]);
});
