/** Guards against a lost replica that counts as a voter for longer than the settings allow, and against changes that bear fewer losses. */
import fc from "fast-check";
import t from "tap";
import { computeFaultTolerance } from "../../src/consensus/replicaCondition.js";
import { type ObservedReplica, selectReplicaSetChange } from "../../src/consensus/replicaSetPolicy.js";

const OPTIONS = { toleratedLosses: 2, silentAfterMs: 2_000, removeAfterMs: 10_000 };

/** `text`: names of the replicas; capitals vote. */
function createReplicas(
    text: string,
    changes: Readonly<Record<string, Partial<ObservedReplica>>> = {},
): ObservedReplica[] {
    return [...text].map(letter => ({
        name: letter.toLowerCase(),
        address: letter.toLowerCase(),
        voting: letter === letter.toUpperCase(),
        silentMs: 0,
        isCaughtUp: true,
        isLeaving: false,
        ...changes[letter.toLowerCase()],
    }));
}

/** Returns the reason and the replicas after the change; those that vote in capitals. */
function select(replicas: readonly ObservedReplica[], joiners: readonly string[] = []): string {
    const change = selectReplicaSetChange(replicas, joiners.map(name => ({ name, address: name })), OPTIONS);
    const after = change?.replicas.map(({ name, voting }) => voting ? name.toUpperCase() : name).join("");
    return change === undefined ? "" : `${change.reason} ${after}`;
}

const SILENT = { silentMs: 2_001 };
const GONE = { silentMs: 10_001 };

void t.test("the vote of a lost replica is withdrawn once its successor votes, and not before", async t => {
    t.equal(select(createReplicas("ABCDE", { e: SILENT })), "", "without a successor it stays");
    t.equal(select(createReplicas("ABCDEf", { e: SILENT })), "caughtUp ABCDEF");
    t.equal(select(createReplicas("ABCDEF", { e: SILENT })), "silent ABCDeF");
    t.equal(select(createReplicas("ABCDEF", { e: { silentMs: 1_999 } })), "", "it may answer yet");
    t.equal(select(createReplicas("ABCDeF", { e: SILENT })), "", "it keeps its place");
    t.equal(select(createReplicas("ABCDeF", { e: GONE })), "removed ABCDF");
    t.equal(select(createReplicas("ABCDeF")), "", "it answers again, and is not needed");
    t.equal(select(createReplicas("ABCDeF", { f: SILENT })), "caughtUp ABCDEF", "it answers again, and is needed");
});

void t.test("the vote of a replica that stops is withdrawn only if the others then bear more losses", async t => {
    t.equal(select(createReplicas("ABCDEF", { e: { isLeaving: true } })), "leaving ABCDeF");
    t.equal(select(createReplicas("ABCDeF", { e: { isLeaving: true } })), "", "it is not promoted again");
    t.equal(select(createReplicas("ABCDE", { e: { isLeaving: true } })), "", "a restart in place");
    t.equal(select(createReplicas("ABCDEFG", { e: { isLeaving: true } })), "", "six of seven bear two losses");
});

void t.test("a sixth voter is not added while five live ones bear the promise: of two halves of six none has a majority", async t => {
    t.equal(select(createReplicas("ABCDEf")), "");
    t.equal(select(createReplicas("ABCDEfg")), "caughtUp ABCDEFg", "two are added together");
    t.equal(select(createReplicas("ABCDEFg")), "caughtUp ABCDEFG");
    t.equal(select(createReplicas("ABCd")), "caughtUp ABCD", "three bear one loss");
    t.equal(select(createReplicas("ABCDEFGHIj", { c: SILENT })), "caughtUp ABCDEFGHIJ", "in place of a lost one");
    t.equal(select(createReplicas("ABCDEFGHIJ", { c: SILENT })), "silent ABcDEFGHIJ");
});

void t.test("a paused replica beside a lost one does not keep the lost one among the voters", async t => {
    t.equal(select(createReplicas("ABCDEF", { e: { silentMs: 5_000 }, d: SILENT })), "silent ABCDeF");
    t.equal(
        select(createReplicas("ABCDEF", { e: SILENT, d: { isLeaving: true } })),
        "silent ABCDeF",
        "one that leaves still answers",
    );
    t.equal(select(createReplicas("ABCDeF", { e: { silentMs: 5_000 }, d: SILENT })), "", "five voters are needed");
});

void t.test("a successor that is late, silent or without its disk is not promoted", async t => {
    t.equal(select(createReplicas("ABCDE", { e: SILENT }), ["f"]), "added ABCDEf");
    t.equal(select(createReplicas("ABCDEf", { f: { isCaughtUp: false } })), "");
    t.equal(select(createReplicas("ABCDEf", { f: SILENT })), "");
    t.equal(select(createReplicas("ABCDEf", { f: GONE })), "removed ABCDE");
    t.equal(select(createReplicas("ABCDE"), ["a"]), "", "already a replica");
});

void t.test("without a live majority nothing is changed but additions", async t => {
    t.equal(select(createReplicas("ABCDEF", { c: SILENT, d: SILENT, e: SILENT })), "");
    const many = Array.from(
        { length: 64 },
        (_, i) => ({ ...createReplicas("a")[0]!, name: `n${i}`, isCaughtUp: false }),
    );
    t.equal(select(many, ["f"]), "", "no more replicas than an entry may name");
});

const replicasArbitrary = fc.array(
    fc.record({
        voting: fc.boolean(),
        silentMs: fc.constantFrom(0, 100, 1_999, 2_001, 9_000, 10_001),
        isCaughtUp: fc.boolean(),
        isLeaving: fc.boolean(),
    }),
    { minLength: 1, maxLength: 12 },
).map(replicas => replicas.map((replica, i) => ({ ...replica, name: `n${i}`, address: `n${i}` })));

void t.test("no change bears fewer losses than before it, and a series of changes ends with the promise kept where it can be", async () => {
    fc.assert(
        fc.property(replicasArbitrary, fc.integer({ min: 0, max: 3 }), (first, toleratedLosses) => {
            const options = { ...OPTIONS, toleratedLosses };
            let replicas: readonly ObservedReplica[] = first;
            const hadMajority = computeFaultTolerance(first, options.silentAfterMs).lossesBorne >= 0;
            for (let turn = 0;; turn++) {
                const before = computeFaultTolerance(replicas, options.silentAfterMs);
                const change = selectReplicaSetChange(replicas, [], options);
                if (change === undefined) {
                    break;
                }
                const old = replicas;
                replicas = change.replicas.map(replica => ({
                    ...old.find(({ name }) => name === replica.name)!,
                    ...replica,
                }));
                const after = computeFaultTolerance(replicas, options.silentAfterMs);
                const changed = old.filter(replica =>
                    replicas.find(({ name }) => name === replica.name)?.voting !== replica.voting
                );
                if (after.lossesBorne < before.lossesBorne || changed.length !== 1 || turn > 2 * first.length) {
                    return false;
                }
            }
            const { liveVoters, lossesBorne } = computeFaultTolerance(replicas, options.silentAfterMs);
            return !hadMajority || liveVoters < 2 * toleratedLosses + 1 || lossesBorne >= toleratedLosses;
        }),
        { numRuns: 5_000, seed: 86 },
    );
});
