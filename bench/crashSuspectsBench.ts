/**
 * Measures what finding the cause of upstream ends costs with 30, 100 and 300 routers: messages and log entries for each end, the
 * CPU time of a controller and of a router, and the memory of the recorded ends. One process; messages are encoded and decoded, not
 * sent.
 */
import { KnownSuspects } from "../src/daemons/directRouter/knownSuspects.js";
import { Survivors } from "../src/daemons/directRouter/survivors.js";
import { computeBlockMs } from "../src/domain/crashSuspects.js";
import { listAttributes } from "../src/domain/requestAttributes.js";
import type { InterruptedRequest } from "../src/domain/upstreamEndCommands.js";
import { UpstreamEndStore } from "../src/domain/upstreamEndStore.js";
import {
    NO_FINGERPRINT,
    reportEndsMethod,
    type SuspectList,
    suspectNoticeMethod,
} from "../src/protocol/fleetMethods.js";

const ROUTER_COUNTS = [30, 100, 300];
const ENDS = 60;
/** Requests interrupted by one end, as many as a model engine runs. */
const RUNS_PER_END = 64;
const PARTS = 40;
const CHECKS = 200_000;
const MS_PER_END = 700;

interface SimulatedRouter {
    readonly suspects: KnownSuspects;
    readonly survivors: Survivors;
}

class CrashSuspectsBench {
    private readonly store = new UpstreamEndStore();
    private readonly routers: SimulatedRouter[];
    private index = 0;
    private entries = 0;
    private entryBytes = 0;
    private messages = 0;
    private messageBytes = 0;
    private controllerMs = 0;
    private routerMs = 0;
    private maxRecordMs = 0;

    constructor(private readonly routerCount: number) {
        this.routers = Array.from({ length: routerCount }, () => ({
            suspects: new KnownSuspects(0),
            survivors: new Survivors(20_000),
        }));
    }

    run(): void {
        for (let end = 0; end < ENDS; end++) {
            this.playEnd(end, end * MS_PER_END);
        }
        const perEnd = (value: number) => (value / ENDS).toFixed(2);
        const snapshotBytes = JSON.stringify(this.store.createSnapshot()).length;
        console.log([
            this.routerCount,
            perEnd(this.entries),
            perEnd(this.entryBytes / 1_000),
            perEnd(this.messages),
            perEnd(this.messageBytes / 1_000),
            perEnd(this.controllerMs),
            this.maxRecordMs.toFixed(1),
            perEnd(this.routerMs / this.routerCount),
            Math.round(snapshotBytes / 1_000),
            this.measureCheckUs().toFixed(2),
        ].join(" | "));
    }

    private playEnd(end: number, now: number): void {
        const reporterCount = Math.min(this.routerCount, RUNS_PER_END);
        for (let i = 0; i < reporterCount; i++) {
            const runs = Math.floor(RUNS_PER_END / reporterCount);
            const requests = Array.from({ length: runs }, (_, j) => createRequest(end, i * runs + j));
            const text = this.encodeMessage({
                report: { ends: [{ life: `u${end}@1`, brokenAgoMs: 3, requests }], cleared: [] },
            });
            const startedAt = performance.now();
            reportEndsMethod.params.parse(JSON.parse(text));
            this.record(() =>
                this.store.applyRecord(
                    { type: "recordUpstreamEnd", life: `u${end}@1`, requests },
                    this.index,
                ), text.length);
            this.controllerMs += performance.now() - startedAt;
        }
        this.notifyRouters(now);
    }

    /** Each router clears the suspects of which it has seen survivors: all but the poison part. */
    private notifyRouters(now: number): void {
        const notice = this.createList();
        const text = this.encodeMessage(notice, this.routerCount);
        for (const { suspects, survivors } of this.routers) {
            const startedAt = performance.now();
            const list = suspectNoticeMethod.params.parse(JSON.parse(text));
            suspects.update(list, now);
            survivors.record(["route:r", "account:a", "model:m", "part:first"], "r1", now + 1);
            const cleared = list.suspects.flatMap(suspect => survivors.listCleared(suspect, now + 2));
            this.routerMs += performance.now() - startedAt;
            if (cleared.length > 0) {
                const report = this.encodeMessage({ report: { ends: [], cleared: [], clearedAttributes: cleared } });
                const receivedAt = performance.now();
                reportEndsMethod.params.parse(JSON.parse(report));
                const effective = cleared.filter(({ attribute, upTo }) => this.store.canClear(attribute, upTo));
                if (effective.length > 0) {
                    this.record(() =>
                        this.store.applyClear(
                            { type: "clearAttributes", cleared: effective },
                            this.index,
                        ), report.length);
                }
                this.controllerMs += performance.now() - receivedAt;
            }
        }
    }

    private createList(): SuspectList {
        const suspects = this.store.getSuspects().map(suspect => ({
            fingerprint: NO_FINGERPRINT,
            attributes: [...suspect.attributes],
            isCulprit: suspect.isCulprit,
            ends: suspect.ends.slice(-8).map(({ life }) => ({ index: this.store.getEndIndex(life)!, agoMs: 0 })),
            leftMs: Math.round(computeBlockMs(suspect)),
        }));
        return { index: this.store.getLastIndex(), suspects };
    }

    private record(apply: () => void, bytes: number): void {
        this.index += 1;
        this.entries += 1;
        this.entryBytes += bytes;
        const startedAt = performance.now();
        apply();
        this.maxRecordMs = Math.max(this.maxRecordMs, performance.now() - startedAt);
    }

    private encodeMessage(message: unknown, copies = 1): string {
        const text = JSON.stringify(message);
        this.messages += copies;
        this.messageBytes += text.length * copies;
        return text;
    }

    /** Time that a router takes to check one request, in microseconds. */
    private measureCheckUs(): number {
        const { suspects } = this.routers[0]!;
        const startedAt = performance.now();
        for (let i = 0; i < CHECKS; i++) {
            const { fingerprint, shared } = createRequest(0, i);
            const parts = shared!.filter(attribute => attribute.startsWith("part:"));
            suspects.tryGetQuarantine(listAttributes({ fingerprint, account: "a", route: "r", model: "m", parts }), 0);
        }
        return (performance.now() - startedAt) / CHECKS * 1_000;
    }
}

/** The first request of each end has the poison part. */
function createRequest(end: number, number: number): InterruptedRequest {
    const part = number === 0 ? "part:poison" : `part:p${(end * 7 + number) % PARTS}`;
    return {
        fingerprint: (end * 1_000 + number).toString(16).padStart(16, "0"),
        hasBegun: true,
        answerMs: number === 0 ? 60 : 400 + number,
        shared: ["route:r", "account:a", "model:m", "part:first", part, `part:own${end}x${number}`],
    };
}

console.log(
    "routers | log entries an end | KB of entries an end | messages an end | KB of messages an end "
        + "| controller ms an end | longest entry ms | router ms an end | snapshot KB | check us a request",
);
ROUTER_COUNTS.forEach(count => new CrashSuspectsBench(count).run());
