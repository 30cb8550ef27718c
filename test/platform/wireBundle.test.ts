/** Decoding of valid and invalid configurations. */
import t from "tap";
import { WireBundleDecoder } from "../../platform/wireBundle.js";
import { BundleIndex, selectTarget } from "../../src/domain/bundle.js";
import { createWireBundle } from "../tools/wireBundle.js";

const decoder = new WireBundleDecoder();

void t.test("a valid configuration is decoded into a bundle", async t => {
    const bundle = await decoder.decode(JSON.stringify(createWireBundle(7)));
    t.equal(bundle.revision, 7);
    t.match(bundle.routes[0], { kind: "stream", maxAttempts: 2, isResumable: true, targets: [{ service: "engines" }] });
    t.match(bundle.services[0], { maxConnections: 40, engine: { slots: 4, tokensPerEvent: 5, cacheTokens: 50_000 } });
    t.match(bundle.accounts[0], { name: "acme", keys: ["key-1"], prepaidTokens: 100_000 });
});

void t.test("the longest wait of a service is the minimum over the routes to it", async t => {
    const wire = createWireBundle(1);
    const [stream] = wire.routes;
    const routes = [
        { ...stream!, goal_ms: 800, itl_target_ms: 400 },
        { ...stream!, name: "other", path_prefix: "/o/", goal_ms: 500, itl_target_ms: 0 },
        ...wire.routes.slice(1),
    ];
    const index = new BundleIndex(await decoder.decode(JSON.stringify({ ...wire, routes })));
    t.equal(index.getLongestWaitMs("engines"), 400);
    t.equal(index.getLongestWaitMs("none"), Infinity);
});

void t.test("the longest matching prefix of the host wins, and a target with weight 0 is never picked", async t => {
    const wire = createWireBundle(1);
    wire.routes.push({ ...wire.routes[0]!, name: "longer", path_prefix: "/s/long/" });
    const index = new BundleIndex(await decoder.decode(JSON.stringify(wire)));
    t.equal(index.tryGetRoute("API.example:80", "/s/long/x")?.name, "longer");
    t.equal(index.tryGetRoute("api.example", "/s/lon")?.name, "stream");
    t.equal(index.tryGetRoute("api.example", "/none/"), undefined);
    t.equal(index.tryGetRoute("other.example", "/s/x"), undefined);
    const route = { ...index.bundle.routes[0]!, targets: [{ service: "a", weight: 0 }, { service: "b", weight: 3 }] };
    t.equal(selectTarget(route, 0).service, "b");
    t.equal(selectTarget(route, 0.999).service, "b");
});

const invalidBundles: readonly [string, (wire: ReturnType<typeof createWireBundle>) => unknown][] = [
    ["truncated JSON", wire => JSON.stringify(wire).slice(0, -20)],
    ["an unknown service", wire => ({ ...wire, backends: [] })],
    [
        "two routes with the same host and prefix",
        wire => ({ ...wire, routes: [wire.routes[0], { ...wire.routes[0], name: "again" }] }),
    ],
    ["weights that sum to 0", wire => ({
        ...wire,
        routes: [{ ...wire.routes[0], backend: undefined, split: [{ backend: "engines", weight: 0 }] }],
    })],
    ["a timeout of 0", wire => ({ ...wire, routes: [{ ...wire.routes[0], timeout_ms: 0 }] })],
    ["a shared key", wire => ({ ...wire, tenants: [...wire.tenants, { name: "other", api_keys: ["key-1"] }] })],
    ["no revision", wire => ({ ...wire, config_rev: undefined })],
    ["an unknown route type", wire => ({ ...wire, routes: [{ ...wire.routes[0], type: "often" }] })],
];
for (const [what, invalidate] of invalidBundles) {
    void t.test(`a configuration with ${what} is rejected with a result code`, async t => {
        const text = invalidate(createWireBundle(1));
        await t.rejects(decoder.decode(typeof text === "string" ? text : JSON.stringify(text)), {
            message: /^LW\d{4} /,
        });
    });
}

// Guards against a limit that one process takes and another refuses.
void t.test("a prepaid limit that cannot be represented exactly is refused by its number, the largest that can is taken", async t => {
    const decode = async (prepaid: number | string) => {
        const text = JSON.stringify(createWireBundle(7)).replace(/"prepaid":\d+/, `"prepaid":${prepaid}`);
        return (await decoder.decode(text)).accounts[0]!.prepaidTokens;
    };
    for (const prepaid of [0, 2 ** 31, Number.MAX_SAFE_INTEGER]) {
        t.equal(await decode(prepaid), prepaid);
    }
    for (const prepaid of ["9007199254740992", "9223372036854775807", "1e300", "-1", "0.5", "1e999"]) {
        await t.rejects(decode(prepaid), { message: /LW2001 objectInvalid: tenants\.0\.prepaid/ }, prepaid);
    }
});
