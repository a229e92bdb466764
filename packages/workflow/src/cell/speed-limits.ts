import { match } from "ts-pattern";

import { coldWorkerSpeed } from "../policy/cold-worker-speed.js";
import { hasTimeAtSpeed } from "../policy/has-time-at-speed.js";
import { measuresSpeed } from "../policy/measures-speed.js";
import { slowWorkerUse } from "../policy/slow-worker-use.js";
import { urgentPriority } from "../policy/urgency.js";
import type { WorkerSpeeds } from "../policy/worker-speeds.js";
import type { CellWorker } from "./cell-workers.js";
import type { RunRegistry } from "./run-registry.js";
import type { RunTimePredictor } from "./run-statistics.js";
import type { StageCandidate } from "./stage-candidate.js";

/** Which slow and cold workers a step's tasks may use. */
export interface SpeedLimits {
    /** Whether the tasks have time for a run at the speed of a cold worker; urgent and long-running ones have none. */
    readonly hasTime: (candidate: StageCandidate) => boolean;
    /** Candidates of different classes may use different slow workers; one class while no worker is slow. */
    readonly classOf: (candidate: StageCandidate) => string;
    /**
     * The speed at which each worker counts for the candidate's tasks, as of now: what is known of it or, while it is
     * cold, assumed; 1 is normal, also where its speed is to be measured anew. Undefined if it is too slow for them,
     * which none is if no worker of normal speed among `open` could ever run them.
     */
    readonly speedsFor: (
        candidate: StageCandidate,
        open: readonly CellWorker[],
    ) => (worker: CellWorker) => number | undefined;
}

/** Options of {@link createSpeedLimits}. */
export interface SpeedLimitsOptions {
    readonly speeds: Pick<WorkerSpeeds, "speedOf" | "sampleAge" | "slowCount">;
    readonly runRegistry: Pick<RunRegistry, "ofWorker">;
    readonly runTime: RunTimePredictor;
}

/** Speed by which candidates are classed; that of workers on which everything takes five times as long. */
const classSpeed = 0.2;

/** Creates the limits of a cell. */
export const createSpeedLimits = ({ speeds, runRegistry, runTime }: SpeedLimitsOptions): SpeedLimits => {
    const runTimeOf = ({ ledger, queue, stage: { step, stepIndex } }: StageCandidate): number =>
        runTime(ledger.workflow.id, queue, step, stepIndex);
    const isUrgent = ({ queue }: StageCandidate): boolean => queue.priority === urgentPriority;
    /** Whether the tasks have time for a run at the speed. */
    const hasTimeAt = (candidate: StageCandidate, speed: number): boolean =>
        !isUrgent(candidate) && !candidate.stage.step.isLasting
        && hasTimeAtSpeed(candidate.urgency.laxity, runTimeOf(candidate), speed);
    const countMeasuringRuns = ({ session }: CellWorker): number =>
        [...runRegistry.ofWorker(session.id)].filter(({ step }) => measuresSpeed(step, session.entry().rack)).length;
    const couldRun = ({ session, resources }: CellWorker, { stage: { step } }: StageCandidate): boolean => {
        const { cpu, memory, accelerators } = resources.capacity();
        return cpu >= step.cpu && memory >= step.memory && accelerators >= step.accelerators
            && (step.requiredLabel === undefined || session.entry().labels.includes(step.requiredLabel));
    };
    const isNormal = ({ session }: CellWorker): boolean => speeds.speedOf(session.id) === 1;
    const speedOf = ({ session }: CellWorker): number => {
        const learned = speeds.speedOf(session.id);
        const { coldUntil } = session.entry();
        return coldUntil === undefined || coldUntil <= performance.now()
            ? learned
            : Math.min(learned, coldWorkerSpeed);
    };
    return {
        hasTime: candidate => hasTimeAt(candidate, coldWorkerSpeed),
        classOf: candidate =>
            speeds.slowCount() === 0
                ? ""
                : isUrgent(candidate)
                ? "urgent"
                : hasTimeAt(candidate, classSpeed)
                ? `has time ${candidate.stage.step.preferredRack ?? ""}`
                : `short of time ${candidate.stage.step.preferredRack ?? ""}`,
        speedsFor: (candidate, open) => {
            const { stage: { step }, urgency } = candidate;
            // A long-running task is better off on a slow worker than nowhere; it prefers others.
            const isLimited = speeds.slowCount() > 0 && !step.isLasting
                && open.some(worker => isNormal(worker) && couldRun(worker, candidate));
            if (!isLimited) {
                return speedOf;
            }
            const time = runTimeOf(candidate);
            return worker => {
                if (isNormal(worker)) {
                    return speedOf(worker);
                }
                const use = slowWorkerUse({
                    isUrgent: isUrgent(candidate),
                    measuresSpeed: measuresSpeed(step, worker.session.entry().rack),
                    laxity: urgency.laxity,
                    isUseless: urgency.expiryLaxity < 0,
                    runTime: time,
                    speed: speeds.speedOf(worker.session.id),
                    runs: countMeasuringRuns(worker),
                    sampleAge: speeds.sampleAge(worker.session.id),
                });
                return match(use)
                    .with("none", () => undefined)
                    .with("has time", () => speedOf(worker))
                    .with("measures", () => 1)
                    .exhaustive();
            };
        },
    };
};
