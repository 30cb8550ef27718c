/** The settings file of a box, as the platform writes it. */

export const PEER_PORT = 7340;
export const ADMIN_PORT = 8229;
export const CALLER_PORT = 8227;
export const READINESS_PORT = 8220;
export const METRICS_PORT = 9464;

/** CPU time of a small box, which relays connections, reads streams at a pace and borrows tokens in advance while it is loaded. */
export const SMALL_BOX_CORES = 0.36;
const DEFAULT_MEMORY_MB = 300;

/** Formats the limits of a box. `cores`: its CPU time; not limited if undefined. */
export function formatBoxLimits(cores: number | undefined, memoryMb = DEFAULT_MEMORY_MB): string {
    return `
        [limits]
        ${cores === undefined ? "" : `cpu_quota = ${cores}`}
        memory_mb = ${memoryMb}
    `;
}

export const SMALL_BOX_LIMITS = formatBoxLimits(SMALL_BOX_CORES);

export interface BoxSettingsText {
    readonly name: string;
    readonly ip: string;
    /** Addresses of the operators' interface on some controllers. */
    readonly seeds: readonly string[];
    readonly isFirstStart: boolean;
    readonly dataFolder: string;
    /** Disks that may be lost at once. */
    readonly toleratedLosses?: number;
    /** Interval between the reports of an upstream, in milliseconds; the platform's default if undefined. */
    readonly heartbeatMs?: number;
    /** Further sections of the file. */
    readonly sections?: string;
}

/** Formats the settings of a box in zone "z". */
export function formatBoxSettings(box: BoxSettingsText): string {
    const { name, ip, seeds, isFirstStart, dataFolder, toleratedLosses = 1, heartbeatMs, sections = "" } = box;
    return `
        node_name = "${name}"
        ip = "${ip}"
        zone = "z"
        port_range = [${PEER_PORT}, ${PEER_PORT + 5}]
        seeds = [${seeds.map(seed => `"${seed}"`).join(",")}]
        bootstrap = ${isFirstStart}
        data_dir = "${dataFolder}"
        ${heartbeatMs === undefined ? "" : `heartbeat_ms = ${heartbeatMs}`}
        [listen]
        admin = "${ip}:${ADMIN_PORT}"
        http = "${ip}:${CALLER_PORT}"
        readiness = "${ip}:${READINESS_PORT}"
        [fault_budget]
        machines = ${toleratedLosses}
        ${sections}
    `;
}
