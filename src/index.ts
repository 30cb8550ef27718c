/**
 * The library: the roles as functions, what they are given, and the parts that tests and other programs build on. The
 * daemons of the command line are made of nothing else.
 */
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
