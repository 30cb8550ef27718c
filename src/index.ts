/** Public API: functions that start each role, their settings, and utilities for tests and other programs. */
export { AllocationPolicy, EqualSplitPolicy, FollowDemandPolicy } from "./domain/allocationPolicy.js";
export { createAccountKey, createKeyHash, isKeyValid } from "./domain/keys.js";
export type {
    BudgetSpec,
    ClientAccountSpec,
    DeclaredObject,
    Kind,
    RankRuleSpec,
    ServiceSpec,
    UpstreamSpec,
} from "./domain/objects.js";
export {
    createRefusal,
    formatRefusal,
    type Ran,
    type Refusal,
    RefusalError,
    type ResultCode,
    ResultCodes,
} from "./domain/resultCodes.js";
export { type ReplayFleet, type ReplayReport, replayTrace } from "./replay/replayTrace.js";
export { readTrace, type TraceLine } from "./replay/trace.js";
export { checkJsonc, parseJsonc, readJsoncFile } from "./settings/jsoncFile.js";
export { readRoleSettings } from "./settings/roleFile.js";
export {
    type ControllerSettings,
    controllerSettings,
    type RouterSettings,
    routerSettings,
    type SidecarSettings,
    sidecarSettings,
} from "./settings/schemas.js";
export { type RunningRole, startController, startRouter, startSidecar } from "./wiring.js";
