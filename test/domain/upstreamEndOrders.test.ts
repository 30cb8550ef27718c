/** What holds for a culprit whatever the order of the log entries on upstream ends, survivors and expiry. */
import fc from "fast-check";
import t from "tap";
import type { CrashSuspect } from "../../src/domain/crashSuspects.js";
import type { InterruptedRequest } from "../../src/domain/upstreamEndCommands.js";
import { UpstreamEndStore } from "../../src/domain/upstreamEndStore.js";

const RUNS = 2_000;
const MAX_ENTRIES = 40;
const SURVIVAL_MS = 3_000;
/** Ends at which a request alone was interrupted, after which it must be blocked whatever happened before. */
const SUFFICIENT_ENDS = 4;

/** Requests that share attributes: route and account, a part, or nothing but the route. */
const REQUESTS: Readonly<Record<string, readonly string[]>> = {
    c0: ["route:r", "account:a"],
    c1: ["route:r", "account:b", "part:x"],
    c2: ["route:s", "account:a", "part:x"],
    c3: ["route:r", "account:a", "part:y"],
};
const CONTENTS = Object.keys(REQUESTS);
const ATTRIBUTES = [...new Set(CONTENTS.flatMap(listAttributes))];

interface RunEntry {
    readonly content: string;
    /** Undefined if the answer had not begun. */
    readonly answerMs: number | undefined;
}

/** `life`: several entries on one life are reports of several routers. `isTogether`: at the moment of the life before. */
type Entry =
    | { readonly type: "end"; readonly life: number; readonly isTogether: boolean; readonly runs: readonly RunEntry[]; }
    | { readonly type: "survivor"; readonly attributes: readonly string[]; readonly age: number; }
    | { readonly type: "expiry"; readonly age: number; };

const runArbitrary = fc.record({
    content: fc.constantFrom(...CONTENTS),
    answerMs: fc.oneof(fc.constant(undefined), fc.integer({ min: 0, max: SURVIVAL_MS + 500 })),
});
const endArbitrary = fc.record({
    type: fc.constant("end" as const),
    life: fc.nat(11),
    isTogether: fc.boolean(),
    runs: fc.array(runArbitrary, { minLength: 1, maxLength: 4 }),
});
const entryArbitrary: fc.Arbitrary<Entry> = fc.oneof(
    { weight: 6, arbitrary: endArbitrary },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("survivor" as const),
            attributes: fc.subarray(ATTRIBUTES, { minLength: 1, maxLength: 3 }),
            age: fc.nat(3),
        }),
    },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("expiry" as const), age: fc.nat(8) }) },
);
const entriesArbitrary = fc.array(entryArbitrary, { maxLength: MAX_ENTRIES });

function listAttributes(content: string): string[] {
    return [`content:${content}`, ...REQUESTS[content]!];
}

function createRequest({ content, answerMs }: RunEntry): InterruptedRequest {
    const shared = [...REQUESTS[content]!];
    return { fingerprint: content, hasBegun: answerMs !== undefined, answerMs, shared };
}

function applyEntry(store: UpstreamEndStore, entry: Entry): void {
    const index = store.getLastIndex() + 1;
    if (entry.type === "end") {
        const togetherWith = entry.isTogether && entry.life > 0 ? `u${entry.life - 1}` : undefined;
        const requests = entry.runs.map(createRequest);
        store.applyRecord({ type: "recordUpstreamEnd", life: `u${entry.life}`, togetherWith, requests }, index);
    }
    else if (entry.type === "survivor") {
        const cleared = entry.attributes.map(attribute => ({ attribute, upTo: Math.max(0, index - 1 - entry.age) }));
        store.applyClear({ type: "clearAttributes", cleared }, index);
    }
    else {
        store.applyForget({ type: "forgetUpstreamEnds", upTo: Math.max(0, index - 1 - entry.age) }, index);
    }
}

function applyAll(store: UpstreamEndStore, entries: readonly Entry[]): void {
    entries.forEach(entry => applyEntry(store, entry));
}

function listCulprits(store: UpstreamEndStore): CrashSuspect[] {
    return store.getSuspects().filter(({ isCulprit }) => isCulprit);
}

/** Whether requests with these attributes are refused. */
function isBlocked(store: UpstreamEndStore, attributes: readonly string[]): boolean {
    return listCulprits(store).some(culprit => culprit.attributes.every(attribute => attributes.includes(attribute)));
}

function copyStore(store: UpstreamEndStore): UpstreamEndStore {
    const copy = new UpstreamEndStore();
    copy.loadSnapshot(JSON.parse(JSON.stringify(store.createSnapshot())) as ReturnType<typeof store.createSnapshot>);
    return copy;
}

function listBlocked(store: UpstreamEndStore): string[] {
    return listCulprits(store).map(({ attributes }) => attributes.join(" ")).sort();
}

/** Fails with the shortest list of entries that breaks the property. */
function checkOrders(check: (entries: readonly Entry[]) => boolean): void {
    fc.assert(fc.property(entriesArbitrary, check), { numRuns: RUNS, seed: 63 });
}

void t.test("a further end lifts no culprit", async () => {
    checkOrders(entries => {
        const store = new UpstreamEndStore();
        return entries.every(entry => {
            const before = listCulprits(store);
            applyEntry(store, entry);
            return entry.type !== "end" || before.every(({ attributes }) => isBlocked(store, attributes));
        });
    });
});

void t.test("only a survivor with one of its attributes or expiry lifts a culprit, and the reason is told", async () => {
    checkOrders(entries => {
        const store = new UpstreamEndStore();
        return entries.every(entry => {
            const before = listCulprits(store);
            store.takeLifted();
            applyEntry(store, entry);
            const lifted = before.filter(({ attributes }) => !isBlocked(store, attributes));
            const told = store.takeLifted();
            return lifted.every(({ attributes }) => {
                const reason = told.find(other => other.attributes.join(" ") === attributes.join(" "))?.reason;
                return entry.type === "survivor"
                    ? reason === "survivor" && entry.attributes.some(attribute => attributes.includes(attribute))
                    : entry.type === "expiry" && reason === "expired";
            });
        });
    });
});

void t.test("a repeated report of an end changes nothing", async () => {
    checkOrders(entries => {
        const store = new UpstreamEndStore();
        return entries.every(entry => {
            applyEntry(store, entry);
            const before = listBlocked(store);
            if (entry.type === "end") {
                applyEntry(store, entry);
            }
            return listBlocked(store).join() === before.join();
        });
    });
});

void t.test("a replica that starts from a snapshot at any entry has the same culprits", async () => {
    checkOrders(entries => {
        const store = new UpstreamEndStore();
        let replica = new UpstreamEndStore();
        return entries.every(entry => {
            applyEntry(store, entry);
            applyEntry(replica, entry);
            replica = copyStore(replica);
            return JSON.stringify(replica.getSuspects()) === JSON.stringify(store.getSuspects());
        });
    });
});

void t.test("a request that alone ends upstreams is blocked whatever came before, also after it was lifted", async () => {
    checkOrders(entries => {
        const store = new UpstreamEndStore();
        applyAll(store, entries);
        return CONTENTS.every(content => {
            const copy = copyStore(store);
            for (let i = 0; i < SUFFICIENT_ENDS; i++) {
                applyEntry(copy, {
                    type: "end",
                    life: 100 + 2 * i,
                    isTogether: false,
                    runs: [{ content, answerMs: undefined }],
                });
            }
            return isBlocked(copy, listAttributes(content));
        });
    });
});
