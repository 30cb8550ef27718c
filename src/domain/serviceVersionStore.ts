/**
 * The replicated record of the software versions of each service. A version is recorded before any router learns of an
 * upstream that has it, so a list read through a majority includes every version that a stream can have begun at.
 */
import type { AddServiceVersionCommand, RemoveServiceVersionCommand } from "./serviceVersionCommands.js";

export interface ServiceVersions {
    readonly service: string;
    readonly versions: readonly string[];
}

/** The services with several versions, as sent to routers. */
export interface ServiceVersionList {
    /** Log index of the last change; a list with a higher index replaces one with a lower index. */
    readonly index: number;
    readonly services: readonly ServiceVersions[];
}

export interface ServiceVersionSnapshot {
    readonly index: number;
    readonly services: readonly ServiceVersions[];
}

export interface ServiceVersionResult {
    readonly type: "serviceVersion";
    /** False if the maximum number of versions is reached. */
    readonly isAccepted: boolean;
}

/** Formats the list for a log line. */
export function formatServiceVersions({ services }: ServiceVersionList): string {
    return services.map(({ service, versions }) => `${service}:${versions.join("+")}`).join(",");
}

/** Bounds what wrong registrations can add. Versions that are no longer in use are removed. */
export const MAX_SERVICE_VERSIONS = 64;
const MAX_SERVICES = 5_000;

export class ServiceVersionStore {
    private readonly versionsByService = new Map<string, Set<string>>();
    private index = 0;

    applyAdd({ service, version }: AddServiceVersionCommand, index: number): ServiceVersionResult {
        const versions = this.versionsByService.get(service) ?? new Set();
        const isFull = versions.size >= MAX_SERVICE_VERSIONS
            || (versions.size === 0 && this.versionsByService.size >= MAX_SERVICES);
        if (versions.has(version) || isFull) {
            return { type: "serviceVersion", isAccepted: versions.has(version) };
        }
        versions.add(version);
        this.versionsByService.set(service, versions);
        this.index = index;
        return { type: "serviceVersion", isAccepted: true };
    }

    applyRemove({ service, version }: RemoveServiceVersionCommand, index: number): ServiceVersionResult {
        const versions = this.versionsByService.get(service);
        if (versions?.delete(version) === true) {
            this.index = index;
            if (versions.size === 0) {
                this.versionsByService.delete(service);
            }
        }
        return { type: "serviceVersion", isAccepted: true };
    }

    has(service: string, version: string): boolean {
        return this.versionsByService.get(service)?.has(version) === true;
    }

    get(service: string): string[] {
        return [...this.versionsByService.get(service) ?? []];
    }

    listAll(): ServiceVersions[] {
        return [...this.versionsByService].map(([service, versions]) => ({ service, versions: [...versions] }));
    }

    createList(): ServiceVersionList {
        return { index: this.index, services: this.listAll().filter(({ versions }) => versions.length > 1) };
    }

    createSnapshot(): ServiceVersionSnapshot {
        return { index: this.index, services: this.listAll() };
    }

    loadSnapshot({ index, services }: ServiceVersionSnapshot): void {
        this.index = index;
        this.versionsByService.clear();
        services.forEach(({ service, versions }) => this.versionsByService.set(service, new Set(versions)));
    }
}
