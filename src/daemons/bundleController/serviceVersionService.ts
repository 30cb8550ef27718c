/**
 * Records the software versions of services in the replicated log, and notifies subscribed routers of the services that have
 * several. A version is recorded before an upstream that has it is published.
 */
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import {
    formatServiceVersions,
    type ServiceVersionList,
    type ServiceVersionResult,
} from "../../domain/serviceVersionStore.js";
import type { HeardRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import { versionNoticeMethod } from "../../protocol/streamMethods.js";
import type { SubscribedRouters } from "./subscribedRouters.js";

/**
 * How long no upstream has had a version before it is removed. Longer than routers keep silent upstreams, so that none
 * still sends to one, and than a stream is remembered.
 */
const UNUSED_RETENTION_MS = 1_800_000;
const EVICTION_PERIOD_MS = 5_000;

export class ServiceVersionService {
    /** Proposals in progress, by service and version, so that upstreams that start together share one. */
    private readonly pendingProposals = new Map<string, Promise<void>>();
    /** When an upstream last had a version, or this process first saw it, by service and version. Monotonic clock. */
    private readonly lastUsedAt = new Map<string, number>();
    /** Log index of the last change that routers were notified of. */
    private lastNotifiedIndex = 0;

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly subscribers: SubscribedRouters,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        replica.onApplied(({ command }) => {
            if (command.type === "addServiceVersion" || command.type === "removeServiceVersion") {
                this.notifyIfChanged();
            }
        });
        replica.onSnapshotLoaded(() => this.notifyIfChanged());
        this.lastNotifiedIndex = this.createList().index;
    }

    /**
     * Resolves once a majority has recorded that a service has a version. Throws noMajority or changeUnknown; may be retried.
     * Throws objectInvalid if the service has too many versions.
     */
    async requireRecorded(service: string, version: string): Promise<void> {
        if (this.replica.state.serviceVersions.has(service, version)) {
            return;
        }
        const key = createVersionKey(service, version);
        let proposal = this.pendingProposals.get(key);
        if (proposal === undefined) {
            proposal = this.propose(service, version).finally(() => this.pendingProposals.delete(key));
            this.pendingProposals.set(key, proposal);
        }
        await proposal;
    }

    /** Returns the versions that the upstreams of a service may have, confirmed by a majority. Throws noMajority. */
    async readVersions(service: string): Promise<string[]> {
        await this.replica.confirmReadIndex();
        return this.replica.state.serviceVersions.get(service);
    }

    createList(): ServiceVersionList {
        return this.replica.state.serviceVersions.createList();
    }

    /** Periodically removes the versions that no upstream has had for long, on the leader. */
    async runEviction(listUpstreams: () => readonly HeardRegistration[]): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.clock.wait(EVICTION_PERIOD_MS);
            for (const { service, version } of this.listUnused(listUpstreams(), this.clock.getMonotonicMs())) {
                if (this.replica.isLeader()) {
                    await this.replica.propose({ type: "removeServiceVersion", service, version }).catch(error =>
                        this.log.info("service_version_not_removed", { service, version, error: String(error) })
                    );
                }
            }
        }
    }

    private async propose(service: string, version: string): Promise<void> {
        const { result } = await this.replica.propose({ type: "addServiceVersion", service, version });
        if (!(result as ServiceVersionResult).isAccepted) {
            throw new RefusalError(createRefusal("objectInvalid", `too many software versions of ${service}`));
        }
        this.log.info("service_version_added", { service, version });
    }

    private listUnused(
        upstreams: readonly HeardRegistration[],
        now: number,
    ): { readonly service: string; readonly version: string; }[] {
        const used = new Set(
            upstreams.map(({ registration: { service, version = "" } }) => createVersionKey(service, version)),
        );
        const recorded = this.replica.state.serviceVersions.listAll().flatMap(({ service, versions }) =>
            versions.map(version => ({ service, version }))
        );
        return recorded.filter(({ service, version }) => {
            const key = createVersionKey(service, version);
            if (used.has(key) || !this.lastUsedAt.has(key)) {
                this.lastUsedAt.set(key, now);
            }
            const isUnused = now - this.lastUsedAt.get(key)! > UNUSED_RETENTION_MS;
            if (isUnused) {
                this.lastUsedAt.delete(key);
            }
            return isUnused;
        });
    }

    private notifyIfChanged(): void {
        const list = this.createList();
        if (list.index > this.lastNotifiedIndex) {
            this.lastNotifiedIndex = list.index;
            this.subscribers.notifyAll(versionNoticeMethod, list);
            this.log.info("service_versions_changed", {
                index: list.index,
                services: formatServiceVersions(list),
            });
        }
    }
}

function createVersionKey(service: string, version: string): string {
    return JSON.stringify([service, version]);
}
