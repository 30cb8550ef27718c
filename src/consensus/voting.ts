/** Vote requests, and the checks a replica makes before it grants a vote. */
import type { PeerMethod, PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import type { VoteAnswer, VoteParams } from "./messages.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";

/**
 * Fraction of the election timeout used until a replica has had contact with a leader: there is probably none, and pre-vote
 * keeps early requests from disrupting one.
 */
const INITIAL_TIMEOUT_FRACTION = 0.3;

export function createVoteParams(storage: LogStorage, candidate: string, term: number): VoteParams {
    const lastIndex = storage.getLastIndex();
    return { term, candidate, lastIndex, lastTerm: storage.tryGetTerm(lastIndex) ?? 0 };
}

/** Computes a randomized timeout without leader contact after which a replica requests votes, in milliseconds. */
export function computeElectionTimeoutMs(options: ReplicatedLogOptions, lastLeaderContactAt: number): number {
    const fraction = lastLeaderContactAt === -Infinity ? INITIAL_TIMEOUT_FRACTION : 1;
    return options.electionTimeoutMs * fraction * (1 + options.random());
}

export function hasVotedFor(storage: LogStorage, { term, candidate }: VoteParams): boolean {
    return storage.term === term && storage.votedFor === candidate;
}

/** Returns whether a candidate's log is at least as up to date as this replica's (Raft, section 5.4.1). */
export function isLogUpToDate(storage: LogStorage, params: VoteParams): boolean {
    const lastIndex = storage.getLastIndex();
    const lastTerm = storage.tryGetTerm(lastIndex) ?? 0;
    return params.lastTerm > lastTerm || (params.lastTerm === lastTerm && params.lastIndex >= lastIndex);
}

/** Requests votes from all voters and resolves to whether a majority granted them, as soon as that is decided. */
export function collectVotes(
    network: PeerNetwork,
    replicas: ReplicaSet,
    timeoutMs: number,
    method: PeerMethod<VoteParams, VoteAnswer>,
    params: VoteParams,
    observeTerm: (term: number) => void,
): Promise<boolean> {
    return new Promise(resolve => {
        let granted = 1;
        const peers = replicas.getPeers().filter(other => replicas.isVoter(other.name));
        const majority = replicas.getQuorumSize();
        let outstanding = peers.length;
        const resolveIfDecided = (): void => {
            if (granted >= majority) {
                resolve(true);
            }
            else if (outstanding === 0) {
                resolve(false);
            }
        };
        for (const peer of peers) {
            network.call(peer.address, method, params, timeoutMs).then(
                answer => {
                    observeTerm(answer.term);
                    granted += answer.granted ? 1 : 0;
                },
                () => undefined,
            ).finally(() => {
                outstanding -= 1;
                resolveIfDecided();
            });
        }
        resolveIfDecided();
    });
}
