/** Where to send what only the leader of the log can answer. */
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicatedLog } from "./replicatedLog.js";

/** The leader, asked at a replica that is not it. Throws noMajority where none is known. */
export function getLeaderAddress(replica: ReplicatedLog): ReplicaAddress {
    const leader = replica.tryGetLeaderAddress();
    if (leader === undefined) {
        throw new RefusalError(createRefusal("noMajority", "no leader is known", "no"));
    }
    return leader;
}
