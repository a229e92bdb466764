import { isBeforeOtherWork } from "../policy/urgency.js";
import type { StageCandidate } from "./stage-candidate.js";
import { stageName } from "./stage-name.js";

/**
 * Starts the candidate's tasks as far as they can start now. Returns false if tasks that might start are left, because
 * `isTimeOver` returned true; it is called after each start.
 */
export type CandidateVisit = (candidate: StageCandidate, isTimeOver: () => boolean) => boolean;

/**
 * Divides the work of placement passes into parts of limited time, so that a holder with little processor time sends its
 * heartbeats and handles answers in between. A round is a series of passes in which each candidate is visited; the next
 * one begins with the most urgent candidate again.
 */
export interface PassRounds {
    /** Whether the last pass ended before all candidates of its round were visited, so that the next one goes on. */
    readonly isUnfinished: () => boolean;
    /**
     * Visits candidates until the time of a pass is over: first urgent and long-running ones within a part of the time,
     * whether the round has visited them or not, then those that the round has not visited, at least one. `candidates`
     * are in order of urgency.
     */
    readonly visit: (candidates: readonly StageCandidate[], visitOne: CandidateVisit) => void;
}

/** Share of the time of a pass within which urgent and long-running tasks go first. */
const firstShare = 0.5;

const keyOf = (candidate: StageCandidate): string =>
    `${stageName(candidate)} ${candidate.urgency.lasting} ${String(candidate.isSuspect)}`;

/** Creates the first round. `passTime`: milliseconds after which a pass ends; the start or search in hand is completed. */
export const createPassRounds = (passTime: number): PassRounds => {
    /** Candidates of an unfinished round, by `keyOf`; empty otherwise. */
    const members = new Set<string>();
    /** Candidates that the unfinished round has visited. */
    const visited = new Set<string>();
    const endRound = (): void => {
        members.clear();
        visited.clear();
    };
    return {
        isUnfinished: () => members.size > 0,
        visit: (candidates, visitOne) => {
            const startedAt = performance.now();
            const isPartOver = (share: number) => (): boolean => performance.now() - startedAt >= passTime * share;
            const isFirstPartOver = isPartOver(firstShare);
            const isTimeOver = isPartOver(1);
            const byKey = new Map(candidates.map(candidate => [keyOf(candidate), candidate]));
            for (const [key, candidate] of byKey) {
                if (!isBeforeOtherWork(candidate.urgency) || isFirstPartOver()) {
                    break;
                }
                if (visitOne(candidate, isFirstPartOver)) {
                    visited.add(key);
                }
            }
            const isNew = members.size === 0;
            const remaining = [...byKey].filter(([key]) => !visited.has(key) && (isNew || members.has(key)));
            for (const [position, [key, candidate]] of remaining.entries()) {
                const isInterrupted = position > 0 && isTimeOver() || !visitOne(candidate, isTimeOver);
                if (isInterrupted) {
                    if (isNew) {
                        [...byKey.keys()].forEach(member => members.add(member));
                    }
                    return;
                }
                visited.add(key);
            }
            endRound();
        },
    };
};
