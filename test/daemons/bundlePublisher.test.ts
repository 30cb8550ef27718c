/** Tests the encoding of bundles, in full and as diffs, and their decoding by routers. */
import t from "tap";
import { BundlePublisher } from "../../src/daemons/bundleController/bundlePublisher.js";
import type { StoredBundle } from "../../src/domain/bundleStore.js";
import { decodeBundle } from "../../src/protocol/bundleTransfer.js";

function createBundle(revision: number, routes = 100): StoredBundle {
    const names = Array.from({ length: routes }, (_, i) => ({ name: `route-${i}`, seen: i === 50 ? revision : 0 }));
    return { revision, text: JSON.stringify({ revision, names }) };
}

function createPublisher(bundles: readonly StoredBundle[]): BundlePublisher {
    const publisher = new BundlePublisher();
    bundles.forEach(bundle => publisher.setNewest(bundle));
    return publisher;
}

void t.test("returns undefined before the first bundle", async t => {
    t.equal(await new BundlePublisher().tryGetEncoded(undefined), undefined);
});

void t.test("sends a diff against a retained bundle, and the full bundle otherwise", async t => {
    const publisher = createPublisher([1, 2, 3, 4, 5, 6].map(revision => createBundle(revision)));
    for (const [held, base] of [[5, 5], [2, 2], [1, undefined], [undefined, undefined], [9, undefined]] as const) {
        const encoded = (await publisher.tryGetEncoded(held))!;
        t.equal(encoded.base, base);
        t.same(decodeBundle(encoded, base === undefined ? undefined : createBundle(base)), createBundle(6));
    }
});

void t.test("limits the total length of the retained bundles", async t => {
    const publisher = createPublisher([1, 2, 3].map(revision => createBundle(revision, 100_000)));
    t.equal((await publisher.tryGetEncoded(2))!.base, 2);
    t.equal((await publisher.tryGetEncoded(1))!.base, undefined);
});

void t.test("rejects diffs against a different bundle and malformed encodings", async t => {
    const encoded = (await createPublisher([createBundle(1), createBundle(2)]).tryGetEncoded(1))!;
    t.equal(encoded.base, 1);
    t.throws(() => decodeBundle(encoded, undefined), { message: /^LW3001 peerMalformed/ });
    t.throws(() => decodeBundle(encoded, createBundle(3)), { message: /^LW3001 peerMalformed/ });
    t.throws(() => decodeBundle(encoded, { revision: 1, text: "another text" }), { message: /^LW3001 peerMalformed/ });
    t.throws(() => decodeBundle({ ...encoded, packed: "?" }, createBundle(1)));
    t.throws(() => decodeBundle({ ...encoded, packed: encoded.packed.slice(0, 20) }, createBundle(1)));
    t.throws(() => decodeBundle({}, undefined), { message: /^LW3001 peerMalformed/ });
});
