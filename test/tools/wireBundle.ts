/** Creates a small configuration in the wire format. */
export function createWireBundle(revision: number) {
    return {
        config_rev: revision,
        routes: [
            createRoute("stream", "/s/", "stream", "engines", 2),
            createRoute("lookup", "/l/", "safe", "plain", 2),
            createRoute("change", "/c/", "unsafe", "plain", 1),
        ],
        backends: [
            {
                name: "engines",
                health_path: "/healthz",
                max_conns: 40,
                engine: { slots: 4, kv_capacity: 50_000, stride: 5 },
            },
            { name: "plain", health_path: "/healthz", max_conns: 40 },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 100_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "acme", api_keys: ["key-1"], prio: 1, prepaid: 100_000 }],
    };
}

/** Creates a configuration with many routes. `timeoutMs`: timeout of one of them. */
export function createLargeWireBundle(revision: number, routes: number, timeoutMs = 4_000) {
    const bundle = createWireBundle(revision);
    const [template] = bundle.routes;
    const extraRoutes = Array.from({ length: routes }, (_, i) => ({
        ...template!,
        name: `route-${(i * 7_919).toString(36)}`,
        path_prefix: `/more/${(i * 104_729).toString(36)}/`,
        timeout_ms: i === routes / 2 ? timeoutMs : template!.timeout_ms,
    }));
    return { ...bundle, routes: [...bundle.routes, ...extraRoutes] };
}

function createRoute(name: string, prefix: string, type: string, service: string, attempts: number) {
    return {
        name,
        host: "api.example",
        path_prefix: prefix,
        type,
        timeout_ms: 4_000,
        goal_ms: 800,
        prio: 1,
        backend: service as string | undefined,
        attempts,
        public: false,
        resumable: type === "stream",
    };
}
