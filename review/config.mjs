/** The operator's configuration of the cases, after the examples that `fleetbench wire` prints for the small site. */

export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const TENANT = "hule930";
export const MODEL_SERVICE = "huvo11a";
/** Most tokens in one event of a stream. */
export const TOKENS_PER_EVENT = 6;

/** The kind of request `consulta-saldo`: a stream that may not be repeated. */
export const balanceRoute = {
    name: "r-6y7z5k6",
    host: HOST,
    path_prefix: "/pufi791/",
    type: "stream",
    timeout_ms: 12_000,
    goal_ms: 800,
    prio: 1,
    backend: MODEL_SERVICE,
    attempts: 1,
    public: false,
    sticky: true,
    resumable: false,
    itl_target_ms: 400,
};

export function createConfig({ prepaid }) {
    return {
        config_rev: 7,
        routes: [balanceRoute],
        backends: [{
            name: MODEL_SERVICE,
            health_path: "/healthz",
            max_conns: 370,
            protocol: "h1",
            tls: false,
            engine: {
                slots: 64,
                kv_capacity: 552_156,
                kv_bytes: 18_432,
                stride: TOKENS_PER_EVENT,
                models: [{ name: "m" }],
            },
        }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 12_000,
        },
        tenants: [{ name: TENANT, api_keys: [KEY], prio: 1, prepaid }],
    };
}

/** Returns the headers of a client's request with a prompt of `prompt` tokens and at most `events` events of answer. */
export function createHeaders(id, { prompt, events }) {
    return {
        Host: HOST,
        "Attempt-Id": id,
        Model: "m",
        "Token-Usage": `${prompt},${events * TOKENS_PER_EVENT}`,
        "Prefix-Hash": `5c1e07a2:119,${id.slice(0, 8)}:${prompt - 119}`,
        "Deadline-Ms": "12000",
        Credential: KEY,
    };
}
