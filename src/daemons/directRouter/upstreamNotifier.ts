/** Notifies the controllers of a changed upstream; they forward the change to the other routers. */
import type { HeardRegistration } from "../../domain/upstreamRegistry.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { upstreamNoticeMethod } from "../../protocol/fleetMethods.js";

export class UpstreamNotifier {
    constructor(
        private readonly network: PeerNetwork,
        private readonly log: Log,
        private readonly getControllers: () => readonly string[],
    ) {}

    /** Notifies every controller, because the controllers may be partitioned from each other. */
    notifyControllers(heard: HeardRegistration): void {
        for (const controller of this.getControllers()) {
            this.network.connect(controller).then(
                peer => peer.notify(upstreamNoticeMethod, { upstreams: [heard] }),
                error =>
                    this.log.info("upstream_not_told", {
                        upstream: heard.registration.id,
                        controller,
                        error: String(error),
                    }),
            );
        }
    }
}
