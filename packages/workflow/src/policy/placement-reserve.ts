import type { Workflow } from "../model/workflow.js";
import { urgentPriority } from "./urgency.js";

/**
 * Starts of tasks that a holder reserves for small urgent workflows while it is late with placement. Their tasks go before
 * all that waits, so that they are on time as long as they are few.
 */
export interface PlacementReserve {
    /** Starts that are left; `now` in ms of a monotonic clock. */
    readonly left: (now: number) => number;
    /** Takes as many of them. */
    readonly take: (starts: number, now: number) => void;
}

/** Starts that are reserved per second and processor core; a holder orders several times as many. */
const startsPerSecond = 75;
/** Starts that can be taken at once, at least; those of a workflow of usual size. */
const leastCapacity = 16;
const msPerSecond = 1_000;

/** Starts of the reserve that a workflow takes; infinite for one whose tasks don't go before all that waits. */
export const reservedStarts = ({ queue, steps, schedule }: Pick<Workflow, "queue" | "steps" | "schedule">): number =>
    queue.priority === urgentPriority && schedule === undefined && !steps.some(step => step.isLasting)
        ? steps.reduce((sum, { count }) => sum + count, 0)
        : Infinity;

/** Creates a reserve of which all is left. `processors`: cores of the host; may be a fraction. */
export const createPlacementReserve = (processors: number): PlacementReserve => {
    const rate = processors * startsPerSecond;
    const capacity = Math.max(leastCapacity, rate);
    let taken = 0;
    let updatedAt = 0;
    const update = (now: number): void => {
        taken = Math.max(0, taken - rate * (now - updatedAt) / msPerSecond);
        updatedAt = now;
    };
    return {
        left: now => {
            update(now);
            return Math.floor(capacity - taken);
        },
        take: (starts, now) => {
            update(now);
            taken += starts;
        },
    };
};
