import type { Run } from "./run.js";

/** Records that the run is ordered to work at `percent` of its full speed from now on. */
export const recordPace = (run: Run, percent: number): void => {
    const now = performance.now();
    if (percent > (run.pace ?? 0)) {
        // Time at the slower pace says nothing about whether the run makes progress now.
        run.percentChangedAt = now;
    }
    run.pace = percent;
    run.haltedSince = percent === 0 ? Math.min(run.haltedSince, now) : Infinity;
    run.hasFullRunTime &&= percent === 100;
};
