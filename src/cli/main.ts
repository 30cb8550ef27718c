#!/usr/bin/env node
/** Entry point of the command line. Handles signals to a role before its modules are loaded. */
import { processLifetime } from "../adapters/processLifetime.js";
import type { Role } from "../settings/schemas.js";

/** The commands that run a role. Listed here, since loading the schemas takes most of the time of a start. */
const ROLES: Readonly<Record<Role, true>> = {
    controller: true,
    router: true,
    sidecar: true,
    "stand-in-engine": true,
    "stand-in-service": true,
    "stand-in-platform": true,
};

if (Object.hasOwn(ROLES, process.argv[2] ?? "")) {
    processLifetime.register(["SIGTERM", "SIGINT"]);
}
await import("./commandLine.js");
