/** Logs when a router begins and stops refusing requests for lack of time, and sets the gauges of the upstream model. */
import type { AdmissionPolicy } from "../../domain/admissionPolicy.js";
import type { UpstreamModel } from "../../domain/upstreamModel.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";

export class AdmissionMonitor {
    private loggedRefusals = 0;
    private wasRefusing = false;

    constructor(
        private readonly admission: AdmissionPolicy | undefined,
        private readonly model: UpstreamModel | undefined,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /** Called periodically. */
    update(): void {
        if (this.model !== undefined) {
            this.metrics.setGauge("upstream_stalls", this.model.stallCount);
            this.metrics.setGauge("upstream_probes", this.model.probeCount);
        }
        if (this.admission !== undefined) {
            this.metrics.setGauge("admission_confidence", this.admission.getConfidence());
            this.logChange(this.admission);
        }
    }

    private logChange(admission: AdmissionPolicy): void {
        const refused = admission.refusalCount - this.loggedRefusals;
        this.loggedRefusals = admission.refusalCount;
        const isRefusing = refused > 0;
        if (isRefusing !== this.wasRefusing) {
            this.wasRefusing = isRefusing;
            this.log.info("admission_state", {
                refusing: isRefusing,
                refused,
                confidence: Number(admission.getConfidence().toFixed(2)),
            });
        }
    }
}
