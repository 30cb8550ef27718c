/**
 * A soak of the real programs: separate processes on one machine, random faults from outside, and the promises checked by
 * what callers, the operator and upstreams see. The faults of a seed are always the same; how they meet is not.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ADMIN_PORT, PEER_PORT } from "../tools/boxSettingsText.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { checkDeadlyLookup } from "./deadlyLookup.js";
import { checkDeadlyPart } from "./deadlyPart.js";
import { playHostileClients } from "./hostilePhase.js";
import { checkLeavingCallers } from "./leavingPhase.js";
import { checkLeftRequests } from "./leftRequestsPhase.js";
import { playLostRouters } from "./lostRoutersPhase.js";
import { playPlannedPhase } from "./plannedPhase.js";
import { RelayCounter, type RelayCounts } from "./relayCounter.js";
import { playReplacedControllers } from "./replacedControllersPhase.js";
import { checkSharedLimits } from "./sharedLimits.js";
import { type BoxRole, RELAY_PORT, SoakBox } from "./soakBox.js";
import { findCallerFaults, SoakCallers } from "./soakCallers.js";
import { RunBook, SLOW_LOOKUP_PATH, SoakEngine } from "./soakEngine.js";
import { SoakFaults } from "./soakFaults.js";
import { SoakOperator } from "./soakOperator.js";

export interface SoakOptions {
    readonly seed: number;
    /** How long faults come, in milliseconds; 0 to play planned work alone. */
    readonly faultMs: number;
    readonly routers: number;
    readonly controllers: number;
    readonly callers: number;
    /** Where logs stay of a run in which something was found; removed otherwise. */
    readonly folder?: string;
}

export interface SoakResult {
    /** Promises that were broken, one line each. */
    readonly faults: readonly string[];
    readonly story: readonly string[];
    /** Requests by status; "none" where the connection failed. */
    readonly outcomes: Readonly<Record<string, number>>;
    /** What the routers did with connections while they were short of CPU time. */
    readonly relayCounts: RelayCounts;
    readonly folder: string;
}

/** Second part of the addresses of the first seed. */
const FIRST_NETWORK = 100;
/** Seeds that run at the same time have addresses of their own, unless they are a multiple of this apart. */
const NETWORKS = 100;
/** How long a fleet may take until it serves again after the last fault. */
const RECOVERY_MS = 60_000;
/** Requests in a row that a router has to answer to count as serving again. */
const SERVED_IN_A_ROW = 10;
/** After this a router that is in touch sends nothing to an upstream that leaves, in milliseconds. */
const LEAVE_MS = 3_000;
const REQUESTS_AT_STOP = 8;
/** Two engines of each version, so that a stream can go on when one has ended. */
const ENGINES = [
    { service: "engines", name: "e1", version: "v1" },
    { service: "engines", name: "e2", version: "v1" },
    { service: "engines", name: "e3", version: "v2" },
    { service: "engines", name: "e4", version: "v2" },
    { service: "plain", name: "p1", version: "v1" },
    { service: "plain", name: "p2", version: "v1" },
] as const;
const SERVICES = ["engines", "plain"] as const;
/** Streams that are left and resumed when the faults are over. */
const RESUMED_STREAMS = 24;
/** Of the streams that are resumed, the part that goes on is at least this part of that of new streams that begin. */
const MIN_RESUMED_FRACTION = 0.5;

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const soak = new Soak(options, await mkdtemp(join(options.folder ?? tmpdir(), `soak-${options.seed}-`)));
    const faults = options.faultMs === 0 ? [] : await soak.playReplacedControllers();
    try {
        faults.push(...await soak.run());
    }
    catch (error) {
        faults.push(String(error));
    }
    const relayCounts = await soak.countRelayed();
    await soak.close();
    if (faults.length === 0) {
        await rm(soak.folder, { recursive: true });
    }
    return { faults, story: soak.getStory(), outcomes: soak.countOutcomes(), relayCounts, folder: soak.folder };
}

class Soak {
    private readonly random: () => number;
    private readonly network: number;
    private readonly book = new RunBook();
    private readonly controllers: SoakBox[];
    private readonly routers: SoakBox[];
    private readonly engines: SoakEngine[];
    private readonly operator: SoakOperator;
    private readonly relayCounter: RelayCounter;
    private readonly story: string[] = [];
    private faults: SoakFaults | undefined;
    private callers: SoakCallers | undefined;

    constructor(private readonly options: SoakOptions, readonly folder: string) {
        const generator = xoroshiro128plus(options.seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
        this.network = FIRST_NETWORK + options.seed % NETWORKS;
        this.controllers = this.createBoxes("controller", options.controllers);
        this.routers = this.createBoxes("router", options.routers);
        this.relayCounter = new RelayCounter(this.routers);
        const admins = this.listAdminAddresses();
        this.engines = ENGINES.map(({ service, name, version }, i) =>
            new SoakEngine(name, service, this.getIp(3, i + 1), this.book, admins, version)
        );
        this.operator = new SoakOperator(admins, this.random);
    }

    /** In a fleet of its own, since the controllers of this one bear the loss of one disk alone. */
    playReplacedControllers(): Promise<string[]> {
        const { seed, controllers, callers } = this.options;
        const { network, folder } = this;
        return playReplacedControllers({ seed, network, controllers, callers, folder }, this.story);
    }

    /** Answers the promises that were broken. */
    async run(): Promise<string[]> {
        await Promise.all(this.controllers.map(box => box.start()));
        const ports = await Promise.all(this.routers.map(box => box.start()));
        await Promise.all(this.engines.map(engine => engine.start()));
        const callers = new SoakCallers(ports, this.random, this.book);
        this.callers = callers;
        await this.operator.putNext();
        await this.waitServing(callers);
        this.relayCounter.start();
        const { routers, operator, book } = this;
        const targets = { routers, operator, callers, book };
        const losses = await playPlannedPhase(targets, this.options.seed, this.story);
        if (this.options.faultMs === 0) {
            return [...losses, ...operator.faults, ...findCallerFaults(callers, book)];
        }
        losses.push(...await playLostRouters(targets, this.options.seed, this.story));
        this.faults = new SoakFaults(
            { routers: this.routers, controllers: this.controllers, engines: this.engines },
            this.random,
        );
        this.operator.start();
        callers.start(this.options.callers);
        await this.faults.run(this.options.faultMs);
        await this.operator.stop();
        await callers.stop();

        const brokenCounts = this.book.audit.listBrokenCounts(SERVICES);
        await this.operator.putNext();
        await this.waitServing(callers);
        const faults = [
            ...losses,
            ...brokenCounts,
            ...await this.checkSharedLimits(callers),
            ...await this.checkLeavingCallers(callers),
            ...await this.checkLeftRequests(callers, ports),
            ...await this.checkResumptions(callers),
            ...await checkDeadlyPart(callers, this.book, this.routers.length),
            ...await checkDeadlyLookup(callers, this.book, this.routers.length),
            ...await this.checkHostileClients(callers),
            ...await this.checkLeaving(callers),
            ...await this.checkPlannedStop(callers),
        ];
        return [...faults, ...this.operator.faults, ...findCallerFaults(callers, this.book)];
    }

    getStory(): readonly string[] {
        return [...this.story, ...this.faults?.story ?? []];
    }

    countOutcomes(): Record<string, number> {
        const counts: Record<string, number> = {};
        for (const { status } of this.callers?.outcomes ?? []) {
            const key = String(status ?? "none");
            counts[key] = (counts[key] ?? 0) + 1;
        }
        return counts;
    }

    countRelayed(): Promise<RelayCounts> {
        return this.relayCounter.stop();
    }

    async close(): Promise<void> {
        this.engines.forEach(engine => engine.stop());
        await Promise.all([...this.routers, ...this.controllers].map(box => box.stop()));
        await this.callers?.close();
    }

    /** Every router serves by the newest configuration, several requests in a row. */
    private async waitServing(callers: SoakCallers): Promise<void> {
        for (let router = 0; router < this.routers.length; router++) {
            let inARow = 0;
            await waitUntil(
                `${this.routers[router]!.options.name} to serve`,
                async () => {
                    const status = await callers.probe(router, this.operator.getProbePath());
                    inARow = status === 200 ? inARow + 1 : 0;
                    return inARow >= SERVED_IN_A_ROW;
                },
                RECOVERY_MS,
            );
        }
    }

    /** Routers together keep their limits while upstreams misbehave and routers restart. */
    private async checkSharedLimits(callers: SoakCallers): Promise<string[]> {
        const plain = this.engines.filter((_, i) => ENGINES[i]!.service === "plain");
        const broken = await checkSharedLimits(callers, this.book, this.routers, plain);
        await this.waitServing(callers);
        return broken;
    }

    private async checkLeavingCallers(callers: SoakCallers): Promise<string[]> {
        const engines = this.engines.filter((_, i) => ENGINES[i]!.service === "engines");
        const broken = await checkLeavingCallers(callers, this.book, this.routers, engines, this.random);
        await this.waitServing(callers);
        return broken;
    }

    private async checkLeftRequests(callers: SoakCallers, ports: readonly number[]): Promise<string[]> {
        const broken = await checkLeftRequests(ports, callers.ids, this.book, this.routers, this.random);
        await this.waitServing(callers);
        return broken;
    }

    /** Clients that do not behave end no process, and others are served after them. */
    private async checkHostileClients(callers: SoakCallers): Promise<string[]> {
        const ended = await playHostileClients([...this.routers, ...this.controllers], this.random, this.story);
        await this.waitServing(callers);
        return ended;
    }

    /** Streams that their callers left go on at other routers about as often as new ones begin. */
    private async checkResumptions(callers: SoakCallers): Promise<string[]> {
        this.engines.forEach((engine, i) => engine.release(ENGINES[i]!.version));
        await this.waitServing(callers);
        const routerCount = this.routers.length;
        const begun = await Promise.all(
            Array.from({ length: RESUMED_STREAMS }, (_, i) => callers.startStream(`begin-${i}`, i % routerCount)),
        );
        const left = begun.filter(({ body }) => body !== undefined && body !== "");
        const resumed = await Promise.all(
            left.map((stream, i) => callers.resumeStream(`resume-${i}`, (i + 1) % routerCount, stream)),
        );
        const beginFraction = left.length / begun.length;
        const resumedFraction = resumed.filter(({ status }) => status === 200).length / Math.max(1, left.length);
        return resumedFraction >= MIN_RESUMED_FRACTION * beginFraction
            ? []
            : [`${resumedFraction} of the streams went on that were resumed, and ${beginFraction} of the new ones began`];
    }

    /** An upstream that leaves gets nothing new after some seconds. */
    private async checkLeaving(callers: SoakCallers): Promise<string[]> {
        const [engine] = this.engines;
        await engine!.leave();
        await wait(LEAVE_MS);
        const leftAt = performance.now();
        callers.start(this.options.callers);
        await wait(LEAVE_MS / 3);
        await callers.stop();
        return this.book.runs.filter(({ upstream, at }) => upstream === engine!.getId() && at > leftAt)
            .map(({ id }) => `${id} was sent to an upstream that had left`);
    }

    /** A planned stop with requests in flight answers them and cuts nothing off. */
    private async checkPlannedStop(callers: SoakCallers): Promise<string[]> {
        const [router] = this.routers;
        const runs = this.book.runs.length;
        const requests = Array.from(
            { length: REQUESTS_AT_STOP },
            (_, i) => callers.send(`stop-${i}`, 0, "lookup", SLOW_LOOKUP_PATH),
        );
        await waitUntil("the requests to run", () => this.book.runs.length >= runs + REQUESTS_AT_STOP);
        const codes = router!.stopCodes.length;
        router!.signal("SIGTERM");
        const outcomes = await Promise.all(requests);
        await waitUntil("the planned stop", () => router!.stopCodes.length > codes);
        return [
            ...outcomes.filter(({ status }) => status !== 200).map(({ id, status }) =>
                `${id} got ${status} at a planned stop`
            ),
            ...router!.stopCodes.at(-1) === 0 ? [] : [`a planned stop ended with code ${router!.stopCodes.at(-1)}`],
        ];
    }

    private createBoxes(role: BoxRole, count: number): SoakBox[] {
        const routers = this.listIps(2, this.options.routers);
        const addresses = [
            ...[...this.listIps(1, this.options.controllers), ...routers].map(ip => `${ip}:${PEER_PORT}`),
            ...role === "router" ? routers.map(ip => `${ip}:${RELAY_PORT}`) : [],
        ];
        return this.listIps(role === "controller" ? 1 : 2, count).map((ip, i) =>
            new SoakBox({
                name: `${role}-${i + 1}`,
                role,
                ip,
                others: addresses.filter(address => !address.startsWith(`${ip}:`)),
                seeds: this.listAdminAddresses().slice(0, 3),
                folder: this.folder,
                toleratedLosses: 1,
            })
        );
    }

    private listAdminAddresses(): string[] {
        return this.listIps(1, this.options.controllers).map(ip => `${ip}:${ADMIN_PORT}`);
    }

    private listIps(group: number, count: number): string[] {
        return Array.from({ length: count }, (_, i) => this.getIp(group, i + 1));
    }

    private getIp(group: number, number: number): string {
        return `127.${this.network}.${group}.${number}`;
    }
}
