/** Writes the settings files under examples/vorka and examples/srp-lima: the users' sizes of today, on loopback. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createKeyHash } from "../src/domain/keys.js";

interface Example {
    readonly folder: string;
    /** Prefix of the availability zones' names. */
    readonly prefix: string;
    readonly zones: readonly string[];
    readonly services: readonly { name: string; type: "model" | "plain"; upstreams: number; spec: object; }[];
    readonly firstPort: number;
}

const FLEET_SECRET = "example-fleet-secret-change-me";
const OPERATOR_TOKEN = "example-operator-token";
const MEMBER_KEY = "lw_member_example-key-0001";
/** Fixed, so that the files are the same each time they are written. Real hashes have salts of their own. */
const EXAMPLE_SALT = "00112233445566778899aabbccddeeff";

const examples: readonly Example[] = [
    {
        folder: "vorka",
        prefix: "halle-",
        zones: ["wien", "linz", "graz"],
        services: [
            {
                name: "wetterwort",
                type: "model",
                upstreams: 13,
                spec: { type: "model", defaultOutputTokens: 512, maxOutputTokens: 4096 },
            },
            { name: "kachelamt", type: "plain", upstreams: 3, spec: { type: "plain", tokensPerCall: 1 } },
        ],
        firstPort: 7100,
    },
    {
        folder: "srp-lima",
        prefix: "lima-",
        zones: ["miraflores", "surco", "callao", "ate"],
        services: [
            {
                name: "modelos-srp",
                type: "model",
                upstreams: 8,
                spec: { type: "model", defaultOutputTokens: 512, maxOutputTokens: 4096 },
            },
            {
                name: "recargas-app",
                type: "plain",
                upstreams: 4,
                spec: { type: "plain", tokensPerCall: 1, repeatable: false },
            },
        ],
        firstPort: 8100,
    },
];

function writeSettings(folder: string, name: string, comment: string, settings: object): void {
    const path = join(process.cwd(), "examples", folder, `${name}.jsonc`);
    writeFileSync(path, `// ${comment}\n${JSON.stringify(settings, undefined, 4)}\n`);
}

function writeExample(example: Example): void {
    const { folder, prefix, zones, services, firstPort } = example;
    mkdirSync(join(process.cwd(), "examples", folder), { recursive: true });
    const address = (port: number): string => `127.0.0.1:${port}`;
    const controllers = zones.map((zone, i) => ({
        name: `controller-${zone}`,
        zone: `${prefix}${zone}`,
        address: address(firstPort + i),
    }));
    const common = (zone: string): object => ({ zone: `${prefix}${zone}`, fleetSecret: FLEET_SECRET, controllers });
    const objects: { kind: string; name: string; spec: object; }[] = services.map(service => ({
        kind: "service",
        name: service.name,
        spec: service.spec,
    }));
    const counts = new Map<string, number>();
    let upstream = 0;
    for (const [i, zone] of zones.entries()) {
        writeSettings(folder, `controller-${zone}`, `The controller of ${prefix}${zone}.`, {
            role: "controller",
            name: `controller-${zone}`,
            ...common(zone),
            listen: address(firstPort + i),
            operatorListen: address(firstPort + 80 + i),
            dataFolder: `data/${folder}/controller-${zone}`,
            operators: [{ name: "operator", tokenHash: createKeyHash(OPERATOR_TOKEN, EXAMPLE_SALT) }],
        });
        writeSettings(folder, `router-${zone}`, `The router on the entry box of ${prefix}${zone}.`, {
            role: "router",
            name: `router-${zone}`,
            ...common(zone),
            listen: address(firstPort + 10 + i),
            callerListen: address(firstPort + 220 + i),
        });
    }
    for (const service of services) {
        for (let n = 0; n < service.upstreams; n++) {
            const zone = zones[n % zones.length]!;
            const count = (counts.get(zone) ?? 0) + 1;
            counts.set(zone, count);
            // The first box of a zone has the short names that docs/OPERATING.md uses.
            const suffix = count === 1 ? zone : `${zone}-${count}`;
            const name = `${service.name}-${suffix}`;
            const standInRole = service.type === "model" ? "stand-in-engine" : "stand-in-service";
            const url = `http://${address(firstPort + 150 + upstream)}`;
            writeSettings(
                folder,
                `${standInRole}-${suffix}`,
                `Stands in for ${service.name} on a box of ${prefix}${zone}.`,
                {
                    role: standInRole,
                    name,
                    listen: address(firstPort + 150 + upstream),
                },
            );
            writeSettings(folder, `sidecar-${suffix}`, `The sidecar beside ${name}.`, {
                role: "sidecar",
                name: `sidecar-${suffix}`,
                box: `box-${suffix}`,
                ...common(zone),
                listen: address(firstPort + 20 + upstream),
            });
            const spec = {
                service: service.name,
                box: `box-${suffix}`,
                zone: `${prefix}${zone}`,
                sidecar: address(firstPort + 20 + upstream),
                url,
            };
            objects.push({ kind: "upstream", name, spec });
            upstream += 1;
        }
    }
    objects.push({
        kind: "clientAccount",
        name: "member",
        spec: { displayName: "Example member", keyHashes: [createKeyHash(MEMBER_KEY, EXAMPLE_SALT)] },
    });
    objects.push({ kind: "budget", name: "member-budget", spec: { account: "member", topUpCopies: "zoneWitness" } });
    const model = services[0]!.name;
    objects.push({
        kind: "rankRule",
        name: "10-long",
        spec: { service: model, rank: 0, minOutputTokens: 256, ageingMs: 8000 },
    });
    objects.push({
        kind: "rankRule",
        name: "20-lookup",
        spec: { service: model, rank: 1, maxOutputTokens: 255, keptShare: 0.2, ageingMs: 2000 },
    });
    writeSettings(folder, "objects", `What an operator declares. The member's key is ${MEMBER_KEY}.`, { objects });
}

examples.forEach(writeExample);
