/**
 * Controllers that are removed for good and replaced by others with empty disks at new addresses, in a fleet of its own, beside kills, pauses
 * and cuts of further controllers. Then as many disks are lost as the settings tolerate, and what was acknowledged has to be read back.
 */
import { readFileSync } from "node:fs";
import { request } from "undici";
import { ADMIN_PORT, METRICS_PORT, PEER_PORT } from "../tools/boxSettingsText.js";
import type { CutDirection } from "../tools/cutRelay.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createRandom } from "./plannedPhase.js";
import { type BoxRole, RELAY_PORT, RESTART_MS, SoakBox } from "./soakBox.js";
import { findCallerFaults, SoakCallers } from "./soakCallers.js";
import { RunBook, SoakEngine } from "./soakEngine.js";
import { SoakOperator } from "./soakOperator.js";

const MIN_CONTROLLERS = 5;
const TOLERATED_LOSSES = 2;
const ROUTERS = 3;
const MAX_REPLACEMENTS = 2;
const MAX_DISTURBANCES = 2;
const SERVICES = ["engines", "plain"] as const;
const ENGINES_OF_SERVICE = 2;
/** Numbers of this phase's boxes; smaller ones are of the main fleet. */
const FIRST_NUMBER = 101;
/** Time after the last disturbance from which no controller counts as lost (`catch_up_s`). */
const CATCH_UP_MS = 4_000;
/** Time in which the configuration is read back and requests are served again (`recover_s`). */
const RECOVER_MS = 12_000;
const MIN_SERVED_FRACTION = 0.25;
const COUNT_MS = 1_000;
const START_TIMEOUT_MS = 30_000;
const MAX_GAP_MS = 800;
const MAX_SUCCESSOR_GAP_MS = 1_500;
const MIN_AWAY_MS = 500;
const AWAY_SPREAD_MS = 2_500;
const SETTINGS_PERIOD_MS = 700;
const READ_PERIOD_MS = 100;
const METRIC_TIMEOUT_MS = 1_000;
/** Seeds draw nothing here that the phases of routers draw. */
const RANDOM_SALT = 7_919;

export interface ReplacedControllersOptions {
    readonly seed: number;
    /** Second part of the addresses. */
    readonly network: number;
    readonly controllers: number;
    readonly callers: number;
    readonly folder: string;
}

/** Returns the promises that were broken, one line each. Adds to `story` what was done. */
export async function playReplacedControllers(
    options: ReplacedControllersOptions,
    story: string[],
): Promise<string[]> {
    const phase = new ReplacedControllers(options, story);
    try {
        return await phase.run();
    }
    catch (error) {
        return [`controllers were replaced: ${String(error)}`];
    }
    finally {
        await phase.close();
    }
}

type Task = "replacements" | "disturbances" | "settings" | "loss" | "operator" | "callers";

class ReplacedControllers {
    /** One for each task, so that what a seed draws does not depend on how the tasks overlap. */
    private readonly random: Readonly<Record<Task, () => number>>;
    private readonly book = new RunBook();
    /** Addresses of the operators' interface on the controllers that are there. Engines and the operator see its changes. */
    private readonly admins: string[] = [];
    /** The first of them, which processes are started with. */
    private readonly seeds: string[] = [];
    private readonly controllers: SoakBox[] = [];
    private readonly routers: SoakBox[];
    private readonly engines: SoakEngine[];
    private readonly operator: SoakOperator;
    private callers: SoakCallers | undefined;
    /** Controllers that are being replaced or disturbed. */
    private readonly reserved = new Set<SoakBox>();
    private readonly startedAt = performance.now();
    private controllerCount = 0;

    constructor(private readonly options: ReplacedControllersOptions, private readonly story: string[]) {
        const random = createRandom(options.seed + RANDOM_SALT);
        const createNext = (): () => number => createRandom(Math.floor(random() * 2 ** 32));
        this.random = {
            replacements: createNext(),
            disturbances: createNext(),
            settings: createNext(),
            loss: createNext(),
            operator: createNext(),
            callers: createNext(),
        };
        for (let i = 0; i < this.countFirst(); i++) {
            this.addController(false);
        }
        this.routers = Array.from({ length: ROUTERS }, (_, i) => this.createBox("router", i, false));
        this.engines = SERVICES.flatMap((service, group) =>
            Array.from({ length: ENGINES_OF_SERVICE }, (_, i) => {
                const number = group * ENGINES_OF_SERVICE + i;
                return new SoakEngine(`x${number}`, service, this.getIp(3, number), this.book, this.admins, "v1");
            })
        );
        this.operator = new SoakOperator(this.admins, this.random.operator);
    }

    async run(): Promise<string[]> {
        const { operator, book } = this;
        const callers = await this.start();
        callers.start(this.options.callers);
        operator.start();
        let running = true;
        const settingsChanges = this.runSettingsChanges(() => running);
        await Promise.all([this.runReplacements(), this.runDisturbances()]);
        const lastAt = performance.now();
        this.note("the last controller is back");
        running = false;
        await settingsChanges;
        await wait(lastAt + CATCH_UP_MS - COUNT_MS - performance.now());
        await operator.stop();
        await wait(lastAt + CATCH_UP_MS - performance.now());
        const faults = await this.checkLoss(callers);
        await callers.stop();
        this.note("has ended");
        return [
            ...[...faults, ...operator.faults].map(fault => `controllers were replaced: ${fault}`),
            ...book.audit.listBrokenCounts(SERVICES),
            ...findCallerFaults(callers, book),
        ];
    }

    async close(): Promise<void> {
        this.engines.forEach(engine => engine.stop());
        await this.operator.stop();
        await Promise.all(this.listBoxes().map(box => box.stop()));
        await this.callers?.stop();
        await this.callers?.close();
    }

    private async start(): Promise<SoakCallers> {
        await Promise.all(this.controllers.map(box => box.start()));
        const ports = await Promise.all(this.routers.map(box => box.start()));
        await Promise.all(this.engines.map(engine => engine.start()));
        const callers = new SoakCallers(ports, this.random.callers, this.book);
        this.callers = callers;
        if (!await this.operator.putNext(START_TIMEOUT_MS)) {
            throw new Error("the first configuration was not acknowledged");
        }
        await waitUntil(
            `${this.countFirst()} voters`,
            async () => {
                const voters = await Promise.all(this.controllers.map(tryReadVoters));
                return Math.max(...voters.map(count => count ?? 0)) === this.countFirst();
            },
            START_TIMEOUT_MS,
        );
        await Promise.all(this.routers.map((box, i) =>
            waitUntil(
                `${box.options.name} to serve`,
                async () => await callers.probe(i, this.operator.getProbePath()) === 200,
                START_TIMEOUT_MS,
            )
        ));
        return callers;
    }

    private async runReplacements(): Promise<void> {
        const random = this.random.replacements;
        const count = 1 + Math.floor(random() * MAX_REPLACEMENTS);
        for (let i = 0; i < count; i++) {
            const gapMs = random() * MAX_GAP_MS;
            const isLeader = random() < 0.5;
            const isSuccessorFirst = random() < 0.5;
            const signal = random() < 0.5 ? "SIGTERM" : "SIGKILL";
            const successorGapMs = random() * MAX_SUCCESSOR_GAP_MS;
            await wait(gapMs);
            const box = this.chooseController(isLeader, random);
            const { name } = box.options;
            this.reserved.add(box);
            if (isSuccessorFirst) {
                await this.startSuccessor();
                await wait(successorGapMs);
            }
            this.note(`${name} is removed by ${signal}${box === this.findLeader() ? ", the leader" : ""}`);
            this.controllers.splice(this.controllers.indexOf(box), 1);
            this.updateAddresses();
            await box.stop(signal);
            if (!isSuccessorFirst) {
                await wait(successorGapMs);
                await this.startSuccessor();
            }
        }
    }

    private async startSuccessor(): Promise<void> {
        const box = this.addController(true);
        this.note(`${box.options.name} is started`);
        await box.start();
        await waitRunning(box);
    }

    /** Disturbs one controller after the other, beside those that are replaced. */
    private async runDisturbances(): Promise<void> {
        const random = this.random.disturbances;
        const count = 1 + Math.floor(random() * MAX_DISTURBANCES);
        for (let i = 0; i < count; i++) {
            const gapMs = random() * MAX_GAP_MS;
            const kind = random();
            const direction = pick<CutDirection>(["both", "forward", "back"], random);
            const awayMs = MIN_AWAY_MS + random() * AWAY_SPREAD_MS;
            await wait(gapMs);
            const box = this.chooseController(kind < 0.34, random);
            this.reserved.add(box);
            if (kind < 0.34) {
                await this.kill(box);
            }
            else if (kind < 0.67) {
                await this.pause(box, awayMs);
            }
            else {
                await this.cut(box, direction, awayMs);
            }
            this.reserved.delete(box);
        }
    }

    private async kill(box: SoakBox): Promise<void> {
        this.note(`${box.options.name} is killed${box === this.findLeader() ? ", the leader" : ""}`);
        box.signal("SIGKILL");
        await wait(RESTART_MS);
        await waitRunning(box);
    }

    private async pause(box: SoakBox, ms: number): Promise<void> {
        this.note(`${box.options.name} is paused for ${Math.round(ms)} ms`);
        box.signal("SIGSTOP");
        await wait(ms);
        box.signal("SIGCONT");
    }

    /** `direction`: "forward" is the way from the box. */
    private async cut(box: SoakBox, direction: CutDirection, ms: number): Promise<void> {
        this.note(`${box.options.name} is cut off for ${Math.round(ms)} ms: ${direction}`);
        const opposite = { both: "both", forward: "back", back: "forward" } as const;
        const away = [...box.links.values()];
        const home = this.listBoxes().flatMap(other => other.links.get(`${box.options.ip}:${PEER_PORT}`) ?? []);
        away.forEach(link => link.cutSilently(direction));
        home.forEach(link => link.cutSilently(opposite[direction]));
        await wait(ms);
        [...away, ...home].forEach(link => link.heal());
    }

    private async runSettingsChanges(isRunning: () => boolean): Promise<void> {
        for (; isRunning(); await wait(SETTINGS_PERIOD_MS)) {
            const box = pick(this.listBoxes(), this.random.settings);
            // A process that has just started does not handle signals yet.
            if (await tryReadVoters(box) !== undefined) {
                box.signal("SIGHUP");
            }
        }
    }

    /** Disks are lost right after an acknowledgement, with all processes in half of the seeds. */
    private async checkLoss(callers: SoakCallers): Promise<string[]> {
        const { operator } = this;
        const random = this.random.loss;
        const isPowerLost = random() < 0.5;
        const lost = this.controllers.map(box => ({ box, order: random() }))
            .sort((one, other) => one.order - other.order).slice(0, TOLERATED_LOSSES).map(({ box }) => box);
        if (!await operator.putNext(RECOVER_MS)) {
            return ["no configuration was acknowledged while all controllers ran"];
        }
        const names = lost.map(box => box.options.name).join(" and ");
        this.note(`${names} lose their disks${isPowerLost ? ", all processes are killed" : ""}`);
        const lostAt = performance.now();
        lost.forEach(box => box.loseDisk());
        if (isPowerLost) {
            this.listBoxes().filter(box => !lost.includes(box)).forEach(box => box.signal("SIGKILL"));
        }
        await wait(RESTART_MS);
        const faults = await this.checkReadBack(lostAt);
        if (faults.length === 0) {
            const changedAt = performance.now();
            faults.push(
                ...await operator.putNext(RECOVER_MS)
                    ? await this.checkReadBack(changedAt)
                    : [`no change was acknowledged within ${RECOVER_MS} ms after the configuration was read back`],
            );
        }
        return [...faults, ...await this.checkServed(callers, lostAt)];
    }

    private async checkReadBack(from: number): Promise<string[]> {
        const { operator } = this;
        const expected = operator.acknowledged;
        while (performance.now() - from < RECOVER_MS) {
            const revision = await operator.tryReadFirst();
            const tookMs = Math.round(performance.now() - from);
            if (revision !== undefined && tookMs <= RECOVER_MS) {
                this.note(`revision ${revision} is read back after ${tookMs} ms`);
                return revision === expected ? [] : [`revision ${revision} was read instead of ${expected}`];
            }
            await wait(READ_PERIOD_MS);
        }
        return [`revision ${expected} was not read back within ${RECOVER_MS} ms`];
    }

    private async checkServed(callers: SoakCallers, lostAt: number): Promise<string[]> {
        for (;;) {
            const startedAt = performance.now();
            const before = callers.outcomes.length;
            await wait(COUNT_MS);
            const outcomes = callers.outcomes.slice(before);
            const served = outcomes.filter(({ status }) => status === 200).length;
            const result = `${served} of ${outcomes.length} requests are served`;
            if (served > 0 && served >= outcomes.length * MIN_SERVED_FRACTION) {
                this.note(result);
                return [];
            }
            if (startedAt > lostAt + RECOVER_MS) {
                return [`${result} later than ${RECOVER_MS} ms after disks were lost`];
            }
        }
    }

    /** Chooses one that is neither replaced nor disturbed; the leader if `isLeader` and if it is one of them. */
    private chooseController(isLeader: boolean, random: () => number): SoakBox {
        const free = this.controllers.filter(box => !this.reserved.has(box));
        const drawn = pick(free, random);
        return isLeader ? free.find(box => box === this.findLeader()) ?? drawn : drawn;
    }

    /** The controller that was elected last. */
    private findLeader(): SoakBox | undefined {
        const elections = this.controllers.flatMap(box => {
            const lines = readFileSync(box.getLogPath(), { encoding: "utf8", flag: "a+" }).split("\n");
            return lines.filter(line => line.includes("event=leader_elected"))
                .map(line => ({ box, time: line.split(" ")[0]! }));
        });
        return elections.sort((one, other) => one.time.localeCompare(other.time)).at(-1)?.box;
    }

    private addController(joinsFleet: boolean): SoakBox {
        const box = this.createBox("controller", this.controllerCount, joinsFleet);
        this.controllerCount += 1;
        this.controllers.push(box);
        this.updateAddresses();
        return box;
    }

    private updateAddresses(): void {
        const admins = this.controllers.map(box => `${box.options.ip}:${ADMIN_PORT}`);
        this.admins.splice(0, this.admins.length, ...admins);
        this.seeds.splice(0, this.seeds.length, ...admins.slice(0, 3));
    }

    private createBox(role: BoxRole, number: number, joinsFleet: boolean): SoakBox {
        const ip = this.getIp(role === "controller" ? 1 : 2, number);
        const controllerCount = this.countFirst() + MAX_REPLACEMENTS;
        const controllers = Array.from({ length: controllerCount }, (_, i) => this.getIp(1, i));
        const routers = Array.from({ length: ROUTERS }, (_, i) => this.getIp(2, i));
        const addresses = [
            ...[...controllers, ...routers].map(other => `${other}:${PEER_PORT}`),
            ...role === "router" ? routers.map(other => `${other}:${RELAY_PORT}`) : [],
        ];
        return new SoakBox({
            name: `replaced-${role}-${number + 1}`,
            role,
            ip,
            others: addresses.filter(address => !address.startsWith(`${ip}:`)),
            seeds: this.seeds,
            folder: this.options.folder,
            toleratedLosses: TOLERATED_LOSSES,
            joinsFleet,
        });
    }

    private countFirst(): number {
        return Math.max(MIN_CONTROLLERS, this.options.controllers);
    }

    private listBoxes(): SoakBox[] {
        return [...this.controllers, ...this.routers];
    }

    private getIp(group: number, number: number): string {
        return `127.${this.options.network}.${group}.${FIRST_NUMBER + number}`;
    }

    private note(what: string): void {
        this.story.push(`replaced ${Math.round(performance.now() - this.startedAt)} ms ${what}`);
    }
}

function pick<T>(of: readonly T[], random: () => number): T {
    return of[Math.floor(random() * of.length)]!;
}

/** Resolves when the process answers: the time that the machine takes to start it is no time in which it has run. */
function waitRunning(box: SoakBox): Promise<void> {
    const what = `${box.options.name} to run`;
    return waitUntil(what, async () => await tryReadVoters(box) !== undefined, START_TIMEOUT_MS);
}

/** Returns how many controllers vote by what a process says; undefined if it does not answer. */
async function tryReadVoters({ options }: SoakBox): Promise<number | undefined> {
    try {
        const url = `http://${options.ip}:${METRICS_PORT}/metrics`;
        const { body } = await request(url, { signal: AbortSignal.timeout(METRIC_TIMEOUT_MS), reset: true });
        return Number(/^loomwinch_log_voters (\d+)$/mu.exec(await body.text())?.[1] ?? 0);
    }
    catch {
        return undefined;
    }
}
