/** Address lookup for requests that only the leader of the log can answer. */
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicatedLog } from "./replicatedLog.js";

/** Returns the leader's address as a non-leader replica knows it. Throws `noMajority` if no leader is known. */
export function getLeaderAddress(replica: ReplicatedLog): ReplicaAddress {
    const leader = replica.tryGetLeaderAddress();
    if (leader === undefined) {
        throw new RefusalError(createRefusal("noMajority", "no leader is known", "no"));
    }
    return leader;
}
