/** Vote requests, and the checks a replica makes before it grants a vote. */
import type { PeerNetwork } from "../ports/peer.js";
import type { ElectionReporter, ElectionStage, VoteCount } from "./electionReporter.js";
import type { LogStorage } from "./logStorage.js";
import { preVoteMethod, type VoteAnswer, voteMethod, type VoteParams } from "./messages.js";
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

/** Requests votes from all voters. */
export class VoteRequester {
    constructor(
        private readonly network: PeerNetwork,
        private readonly replicas: ReplicaSet,
        private readonly reporter: ElectionReporter,
        private readonly timeoutMs: number,
        private readonly observeTerm: (term: number) => void,
    ) {}

    /** Resolves to whether a majority granted its vote, as soon as that is decided. A failure is logged. */
    async requestVotes(stage: ElectionStage, params: VoteParams): Promise<boolean> {
        const votes = await this.collectVotes(stage === "preVote" ? preVoteMethod : voteMethod, params);
        const isWon = votes.granted >= votes.needed;
        if (!isWon) {
            this.reporter.reportFailure(stage, params.term, votes);
        }
        return isWon;
    }

    private collectVotes(method: typeof voteMethod, params: VoteParams): Promise<VoteCount> {
        const { network, replicas, timeoutMs } = this;
        return new Promise(resolve => {
            const peers = replicas.getPeers().filter(other => replicas.isVoter(other.name));
            const needed = replicas.getQuorumSize();
            const refusedBy: string[] = [];
            const nonMembers: string[] = [];
            const unanswered = new Set(peers.map(peer => peer.name));
            // The set may have changed since the pre-vote.
            let granted = replicas.isVoter(params.candidate) ? 1 : 0;
            let outstanding = peers.length;
            const resolveIfDecided = (): void => {
                if (granted >= needed || outstanding === 0) {
                    resolve({ granted, needed, refusedBy, nonMembers, unanswered: [...unanswered] });
                }
            };
            const recordAnswer = (name: string, answer: VoteAnswer): void => {
                unanswered.delete(name);
                this.observeTerm(answer.term);
                if (answer.granted) {
                    granted += 1;
                }
                else {
                    (answer.isMember === false ? nonMembers : refusedBy).push(name);
                }
            };
            for (const peer of peers) {
                network.call(peer.address, method, params, timeoutMs).then(
                    answer => recordAnswer(peer.name, answer),
                    () => undefined,
                ).finally(() => {
                    outstanding -= 1;
                    resolveIfDecided();
                });
            }
            resolveIfDecided();
        });
    }
}
