/** State and services shared by the modules of a controller. */
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import type { Ledger } from "../../domain/ledger.js";
import type { UpstreamSpec } from "../../domain/objects.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerNetwork } from "../../ports/peer.js";
import type { ControllerAddress } from "../controllerAddress.js";

export interface ControllerContext {
    readonly name: string;
    readonly zone: string;
    readonly controllers: readonly ControllerAddress[];
    readonly log: ReplicatedLog;
    readonly ledger: Ledger;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly events: Log;
    readonly metrics: Metrics;
}

export function getOtherControllers(context: ControllerContext): ControllerAddress[] {
    return context.controllers.filter(controller => controller.name !== context.name);
}

/** Location of a sidecar, as declared by its upstreams. */
export interface SidecarAddress {
    readonly box: string;
    readonly zone: string;
    readonly address: string;
}

/** Returns the distinct sidecars of all declared upstreams. */
export function getSidecars(context: ControllerContext): SidecarAddress[] {
    const sidecars = new Map<string, SidecarAddress>();
    for (const upstream of context.log.state.objects.getAll("upstream")) {
        const spec: UpstreamSpec = upstream.spec;
        sidecars.set(spec.sidecar, { box: spec.box, zone: spec.zone, address: spec.sidecar });
    }
    return [...sidecars.values()];
}
