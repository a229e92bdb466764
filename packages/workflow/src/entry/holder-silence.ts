import type { CellClaim } from "./cell-claims.js";

/** Notes which holders have left submissions of this host without a reply. */
export interface HolderSilence {
    /** Records that a submission is sent to the holder; the returned function records its reply. */
    readonly recordSent: (holder: CellClaim) => () => void;
    /** Whether a submission has been without a reply for too long, and nothing has been heard of the holder since. */
    readonly isSilent: (holder: CellClaim) => boolean;
}

/** Milliseconds within which a holder that runs and can be reached replies, also while the store does not answer. */
const longestReply = 1_000;

/** Creates notes without unanswered submissions. */
export const createHolderSilence = (): HolderSilence => {
    /** Monotonic times in ms of the first submissions without a reply, by the holders' incarnations. */
    const unansweredSince = new Map<string, number>();
    const findUnanswered = ({ host, heardAt }: CellClaim): number | undefined => {
        const since = unansweredSince.get(host.incarnation);
        return since === undefined || heardAt > since ? undefined : since;
    };
    return {
        recordSent: holder => {
            const { incarnation } = holder.host;
            unansweredSince.set(incarnation, findUnanswered(holder) ?? performance.now());
            return () => {
                unansweredSince.delete(incarnation);
            };
        },
        isSilent: holder => performance.now() - (findUnanswered(holder) ?? Infinity) > longestReply,
    };
};
