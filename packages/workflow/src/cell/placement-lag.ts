/** Measures how late the rounds of placement of a cell are, each of one pass or more, which shows whether its holder keeps up. */
export interface PlacementLag {
    /** Expects a round to end in `milliseconds`, if none is expected sooner; its lag counts from then. */
    readonly expectRound: (milliseconds: number) => void;
    /** Records the end of the expected round. */
    readonly endRound: () => void;
    /** Whether a round has ended. */
    readonly hasRun: () => boolean;
    /** Share of the last few seconds in which a round was due and too late. */
    readonly lateShare: () => number;
    /** Whether rounds are late for much of the time; a single late round does not count. */
    readonly isBehind: () => boolean;
}

/** Milliseconds from its expected end from which a round is too late. */
const allowedLag = 500;
/** Share of late time from which the holder counts as behind. */
const behindFrom = 0.3;
/** Share of late time below which a holder that is behind counts as keeping up again. */
const behindUntil = 0.1;
/** Milliseconds for which late time counts. */
const window = 3_000;

/** A time in which a round was too late. */
interface LateTime {
    /** Monotonic time in ms. */
    readonly from: number;
    readonly to: number;
}

/** Creates a measurement without rounds. */
export const createPlacementLag = (): PlacementLag => {
    let lateTimes: readonly LateTime[] = [];
    let expectedAt: number | undefined;
    let hasRun = false;
    let isBehind = false;
    /** The late time of the expected round until now, if it is too late already. */
    const currentLateTime = (now: number): readonly LateTime[] =>
        expectedAt !== undefined && now - expectedAt > allowedLag ? [{ from: expectedAt + allowedLag, to: now }] : [];
    const lateShare = (): number => {
        const now = performance.now();
        const lateTime = [...lateTimes, ...currentLateTime(now)]
            .reduce((sum, { from, to }) => sum + Math.max(0, to - Math.max(from, now - window)), 0);
        return lateTime / window;
    };
    return {
        expectRound: milliseconds => {
            expectedAt = Math.min(expectedAt ?? Infinity, performance.now() + milliseconds);
        },
        endRound: () => {
            const now = performance.now();
            lateTimes = [...lateTimes.filter(({ to }) => now - to < window), ...currentLateTime(now)];
            expectedAt = undefined;
            hasRun = true;
        },
        hasRun: () => hasRun,
        lateShare,
        isBehind: () => {
            isBehind = lateShare() > (isBehind ? behindUntil : behindFrom);
            return isBehind;
        },
    };
};
