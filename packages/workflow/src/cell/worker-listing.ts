/** Follows whether the platform's directory lists one worker. */
export interface WorkerListing {
    /** Records whether the worker was listed when the directory was read just now. */
    readonly recordRead: (isListed: boolean) => void;
    /**
     * Whether the worker counts as gone: it has been missing so long that its entry did not merely expire while the
     * store was unavailable.
     */
    readonly isGone: () => boolean;
}

/** Milliseconds after which a missing entry does not come back; after an outage of the store it takes up to 2 s. */
const returnTime = 2_500;
/** Milliseconds between two reads above which the store may have been unavailable in between. */
const longestReadGap = 2_000;

/** Creates the listing of a worker that is listed. */
export const createWorkerListing = (): WorkerListing => {
    /** Monotonic time in ms of the first of the last reads, without a gap, that did not find the worker. */
    let missingSince: number | undefined;
    /** Monotonic time in ms of the last read. */
    let readAt = -Infinity;
    return {
        recordRead: isListed => {
            const now = performance.now();
            const hasGap = now - readAt > longestReadGap;
            missingSince = isListed ? undefined : missingSince === undefined || hasGap ? now : missingSince;
            readAt = now;
        },
        isGone: () => missingSince !== undefined && readAt - missingSince >= returnTime,
    };
};
