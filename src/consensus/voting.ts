/** The asking for votes, and what a replica's own log says to a candidate. */
import type { PeerMethod, PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import type { VoteAnswer, VoteParams } from "./messages.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";

/**
 * Part of the election timeout that a replica waits which has heard of no leader since its start: probably there is none,
 * and asking for votes disturbs nobody.
 */
const UNHEARD_TIMEOUT_PART = 0.3;

/** What a candidate says of itself. */
export function createVoteParams(storage: LogStorage, candidate: string, term: number): VoteParams {
    const lastIndex = storage.getLastIndex();
    return { term, candidate, lastIndex, lastTerm: storage.tryGetTerm(lastIndex) ?? 0 };
}

/** How long a replica waits for a leader before it asks for votes, in milliseconds. `heardAt`: when it heard of one last. */
export function computeCandidacyTimeoutMs(options: ReplicatedLogOptions, heardAt: number): number {
    const part = heardAt === -Infinity ? UNHEARD_TIMEOUT_PART : 1;
    return options.electionTimeoutMs * part * (1 + options.random());
}

/** Whether this replica has given its vote to the candidate. */
export function hasVotedFor(storage: LogStorage, { term, candidate }: VoteParams): boolean {
    return storage.term === term && storage.votedFor === candidate;
}

/** Whether a candidate's log holds at least as much as this one (Raft, section 5.4.1). */
export function isLogUpToDate(storage: LogStorage, params: VoteParams): boolean {
    const lastIndex = storage.getLastIndex();
    const lastTerm = storage.tryGetTerm(lastIndex) ?? 0;
    return params.lastTerm > lastTerm || (params.lastTerm === lastTerm && params.lastIndex >= lastIndex);
}

/** Asks everyone; answers whether a majority agreed, as soon as that is known. */
export function collectVotes(
    network: PeerNetwork,
    replicas: ReplicaSet,
    timeoutMs: number,
    method: PeerMethod<VoteParams, VoteAnswer>,
    params: VoteParams,
    checkTerm: (term: number) => void,
): Promise<boolean> {
    return new Promise(resolve => {
        let granted = 1;
        const voters = replicas.getOthers().filter(other => replicas.isVoter(other.name));
        const majority = replicas.getMajority();
        let outstanding = voters.length;
        const checkDone = (): void => {
            if (granted >= majority) {
                resolve(true);
            }
            else if (outstanding === 0) {
                resolve(false);
            }
        };
        for (const other of voters) {
            network.call(other.address, method, params, timeoutMs).then(
                answer => {
                    checkTerm(answer.term);
                    granted += answer.granted ? 1 : 0;
                },
                () => undefined,
            ).finally(() => {
                outstanding -= 1;
                checkDone();
            });
        }
        checkDone();
    });
}
