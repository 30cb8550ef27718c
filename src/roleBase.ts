/** Components common to all roles: identity, log, metrics and network. */
import { readFile } from "node:fs/promises";
import { KeyValueLog, type LogOutput } from "./adapters/keyValueLog.js";
import { parseAddress, TcpNetwork } from "./adapters/rpc/tcpNetwork.js";
import { EventLoopMonitor } from "./daemons/eventLoopMonitor.js";
import { LoopUtilization } from "./daemons/loopUtilization.js";
import { createRandomId } from "./domain/identifiers.js";
import { createRefusal, RefusalError } from "./domain/resultCodes.js";
import { SystemClock } from "./ports/clock.js";
import type { Log } from "./ports/log.js";
import { type Metrics, NoMetrics } from "./ports/metrics.js";
import { PeerHandlers, type PeerIdentity } from "./ports/peer.js";
import type { CommonSettings } from "./settings/schemas.js";

export interface RoleBase {
    /** The incarnation in it is generated at each start. */
    readonly identity: PeerIdentity;
    readonly clock: SystemClock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly handlers: PeerHandlers;
    readonly loop: EventLoopMonitor;
    readonly utilization: LoopUtilization;
    readonly network: TcpNetwork;
    /** HOST:PORT on which other processes connect; the port is the one actually bound. */
    readonly peerAddress: string;
}

export type RoleBaseSettings =
    & Pick<CommonSettings, "name" | "zone" | "role" | "logLevel" | "listen">
    & Partial<CommonSettings>
    & {
        readonly metrics?: Metrics;
        /** Where log lines are written; standard output by default. */
        readonly logOutput?: LogOutput | undefined;
    };

/** Starts listening and creates the common components. Throws settingsInvalid if no fleet secret is configured. */
export async function createRoleBase(settings: RoleBaseSettings): Promise<RoleBase> {
    const { name, zone, role } = settings;
    const identity: PeerIdentity = { name, role, zone, incarnation: createRandomId() };
    const log = new KeyValueLog({ role, name, zone }, settings.logLevel, settings.logOutput);
    const metrics = await createMetrics(settings);
    const clock = new SystemClock();
    const loop = new EventLoopMonitor(clock, log, metrics);
    const handlers = new PeerHandlers(() => loop.countWork("calls"));
    const secret = await readFleetSecret(settings);
    const network = new TcpNetwork({ identity, secret, handlers, log, addressMap: settings.addressMap ?? {} });
    const { host, port: requestedPort } = parseAddress(settings.listen);
    const port = await network.listen(host, requestedPort);
    const peerAddress = `${settings.listen.slice(0, settings.listen.lastIndexOf(":"))}:${port}`;
    loop.start();
    const utilization = new LoopUtilization();
    utilization.start();
    return { identity, clock, log, metrics, handlers, loop, utilization, network, peerAddress };
}

/** Stops everything that `createRoleBase` started. Resolves when other processes have received what this one has sent, or after `limitMs`. */
export async function closeRoleBase(base: RoleBase, limitMs: number): Promise<void> {
    base.loop.stop();
    base.utilization.stop();
    await base.network.close(limitMs);
    base.metrics.close();
}

async function createMetrics({ statsd, metrics, role, name, zone }: RoleBaseSettings): Promise<Metrics> {
    if (statsd === undefined) {
        return metrics ?? new NoMetrics();
    }
    const { StatsdMetrics } = await import("./adapters/statsdMetrics.js");
    return new StatsdMetrics(statsd, { role, name, zone });
}

async function readFleetSecret(settings: Partial<CommonSettings>): Promise<string> {
    if (settings.fleetSecret !== undefined) {
        return settings.fleetSecret;
    }
    if (settings.fleetSecretFile === undefined) {
        throw new RefusalError(createRefusal("settingsInvalid", "either fleetSecret or fleetSecretFile is required"));
    }
    return (await readFile(settings.fleetSecretFile, "utf8")).trim();
}
