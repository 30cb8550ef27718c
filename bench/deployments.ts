/** The users' deployments at today's sizes, with stand-ins, and the accounts that their traces speak of. */
import type { FleetOptions } from "../test/tools/fleet.js";

/** One deployment as traces and replays know it. */
export interface Deployment {
    readonly name: string;
    readonly fleet: FleetOptions;
    /** Service that the traces ask. */
    readonly service: string;
    readonly slots: number;
    /** Client accounts, the large ones first. */
    readonly accounts: readonly string[];
    /** Availability zone that a split cuts off. */
    readonly cutOffZone: string;
}

const ACCOUNT_COUNT = 10;
const SLOTS_PER_ENGINE = 8;

function createAccounts(prefix: string): string[] {
    return Array.from({ length: ACCOUNT_COUNT }, (_, i) => `${prefix}-${i + 1}`);
}

/** Long briefings go first; lookups keep a share of the slots and age. */
export const rankRules: readonly { name: string; spec: object; }[] = [
    { name: "10-long", spec: { rank: 0, minOutputTokens: 40, keptShare: 0, ageingMs: 4_000 } },
    { name: "20-short", spec: { rank: 1, maxOutputTokens: 39, keptShare: 0.25, ageingMs: 2_000 } },
];

export const vorka: Deployment = {
    name: "vorka",
    fleet: {
        zones: ["halle-wien", "halle-linz", "halle-graz"],
        services: [
            {
                name: "wetterwort",
                type: "model",
                upstreams: 13,
                slots: SLOTS_PER_ENGINE,
                standIn: { tokenMs: 8, slots: SLOTS_PER_ENGINE },
            },
            { name: "kachelamt", type: "plain", upstreams: 3 },
        ],
    },
    service: "wetterwort",
    slots: 13 * SLOTS_PER_ENGINE,
    accounts: createAccounts("vorka"),
    cutOffZone: "halle-graz",
};

export const srpLima: Deployment = {
    name: "srp-lima",
    fleet: {
        zones: ["lima-miraflores", "lima-surco", "lima-callao", "lima-ate"],
        services: [
            {
                name: "modelos-srp",
                type: "model",
                upstreams: 8,
                slots: SLOTS_PER_ENGINE,
                standIn: { tokenMs: 8, slots: SLOTS_PER_ENGINE },
            },
            { name: "recargas-app", type: "plain", upstreams: 4, spec: { repeatable: false } },
        ],
    },
    service: "modelos-srp",
    slots: 8 * SLOTS_PER_ENGINE,
    accounts: createAccounts("lima"),
    cutOffZone: "lima-ate",
};

export const deployments: readonly Deployment[] = [vorka, srpLima];
