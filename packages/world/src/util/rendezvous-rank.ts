import { createHash } from "node:crypto";

const weightOf = (key: string, candidate: string): string =>
    createHash("sha1").update(`${key}\u0000${candidate}`).digest("hex");

/**
 * Ranks `candidates` for `key` by rendezvous hashing, highest weight first. When a candidate is added or removed, only
 * the keys for which it ranks first change their first candidate.
 */
export const rendezvousRank = <Candidate extends string>(
    key: string,
    candidates: readonly Candidate[],
): readonly Candidate[] =>
    candidates
        .map(candidate => ({ candidate, weight: weightOf(key, candidate) }))
        .sort((left, right) => left.weight < right.weight ? 1 : -1)
        .map(entry => entry.candidate);
