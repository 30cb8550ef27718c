/**
 * Keeps streams at the software version that began them, whichever router they are resumed at. Composes what a router
 * remembers and reports of its own streams with what it finds out about those of others.
 */
import { formatServiceVersions, type ServiceVersionList } from "../../domain/serviceVersionStore.js";
import type { StreamOriginsOptions } from "../../domain/streamOrigins.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import { versionNoticeMethod } from "../../protocol/streamMethods.js";
import { ServiceVersionReader } from "./serviceVersionReader.js";
import { StreamOriginReporter } from "./streamOriginReporter.js";
import { StreamResumer } from "./streamResumer.js";

export interface StreamContinuityOptions extends StreamOriginsOptions {
    /** This router's address. */
    readonly address: string;
    /** Retry-After of a refused resumption, in milliseconds. */
    readonly retryAfterMs: number;
    readonly getEventLoopLagMs: () => number;
}

export class StreamContinuity {
    readonly origins: StreamOriginReporter;
    readonly resumer: StreamResumer;
    private mixedServices: ReadonlySet<string> = new Set();
    /** Log index of the list that `mixedServices` was received with. */
    private index = 0;

    /** `getControllers`: addresses of all controllers, the ones with a majority first. */
    constructor(
        options: StreamContinuityOptions,
        getControllers: () => readonly string[],
        network: PeerNetwork,
        clock: Clock,
        private readonly log: Log,
        metrics: Metrics,
    ) {
        const isMixed = (service: string): boolean => this.mixedServices.has(service);
        this.origins = new StreamOriginReporter(options.address, isMixed, network, clock, log, metrics, options);
        const reader = new ServiceVersionReader(network, getControllers);
        this.resumer = new StreamResumer(
            this.origins,
            reader,
            isMixed,
            getControllers,
            network,
            clock,
            log,
            metrics,
            options,
        );
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(versionNoticeMethod, list => this.receiveVersions(list));
    }

    /** Applies the services with several software versions; an older list is ignored. */
    receiveVersions(list: ServiceVersionList): void {
        const { index, services } = list;
        if (index <= this.index) {
            return;
        }
        this.index = index;
        this.mixedServices = new Set(services.map(({ service }) => service));
        this.log.info("service_versions_in_force", {
            index,
            services: formatServiceVersions(list),
        });
        this.origins.reportMixedServices();
    }
}
