/** Settings of the relay of callers' connections to other routers. */
import * as z from "zod";
import { parseSection } from "./checkSection.js";

/** Times in milliseconds. */
const connectionRelaySettings = z.strictObject({
    /** HOST:PORT at which this router accepts connections relayed by others. */
    relayAddress: z.string().regex(
        /^[^\s:]+:(?:[0-5]?\d{1,4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])$/,
        "must be HOST:PORT",
    ),
    /** CPU time available to this router, in cores. */
    cores: z.number().positive().max(1_024),
    /** Above 0.6 a turn of the event loop waits longer than it works, and latency grows fast. */
    targetUtilization: z.number().min(0.3).max(0.9).default(0.6),
    /** Maximum fraction of new connections to relay. The rest shows whether the router is still overloaded. */
    maxFraction: z.number().min(0).max(0.97).default(0.97),
    /** Age at which the reported load of a router is not used any more. More than one notice period. */
    loadExpiryMs: z.int().min(1_100).max(10_000).default(2_000),
    /**
     * Time to connect to another router. A round trip in a zone takes a millisecond, but a saturated router sees an established
     * connection only after several turns of its event loop, some 150 ms.
     */
    connectTimeoutMs: z.int().min(10).max(1_000).default(500),
    /** Time for which a router is not used after a connection to it has failed. */
    backoffMs: z.int().min(100).max(60_000).default(1_000),
    /** Maximum number of concurrent relayed connections. */
    maxConnections: z.int().min(1).max(20_000).default(2_000),
    /**
     * Bytes of requests that are retained until their answers begin, all together and of one request. A request beyond them is answered as
     * possibly run if the router that serves it is lost.
     */
    maxRetainedBytes: z.int().min(0).max(268_435_456).default(8_388_608),
    maxRetainedRequestBytes: z.int().min(0).max(16_777_216).default(262_144),
});
export type ConnectionRelaySettings = z.infer<typeof connectionRelaySettings>;
export type ConnectionRelaySettingsInput = z.input<typeof connectionRelaySettings>;

/** Applies defaults. Throws settingsInvalid, which names the setting and its bound. */
export function parseConnectionRelaySettings(input: ConnectionRelaySettingsInput): ConnectionRelaySettings {
    return parseSection("connectionRelay", connectionRelaySettings, input);
}
