import type { WorkflowProgress } from "../ledger/workflow-progress.js";

/** A progress row's value. */
export interface EncodedProgress {
    readonly value: string;
    /** Number of checkpoints that were left out, since the value would be too long with them. */
    readonly omittedCheckpoints: number;
}

/** Leaves out the longest checkpoints, which save at least `excess` bytes if there are enough of them. */
const omitCheckpoints = (progress: WorkflowProgress, excess: number): readonly [WorkflowProgress, number] => {
    const checkpoints = progress.steps.flatMap((step, row) =>
        step.checkpoints.map(([index, checkpoint]) => ({
            row,
            index,
            bytes: Buffer.byteLength(JSON.stringify(checkpoint)),
        }))
    );
    checkpoints.sort((left, right) => right.bytes - left.bytes);
    const omitted = new Set<string>();
    let saved = 0;
    for (const { row, index, bytes } of checkpoints) {
        if (saved >= excess) {
            break;
        }
        saved += bytes;
        omitted.add(`${String(row)}.${String(index)}`);
    }
    const steps = progress.steps.map((step, row) => ({
        ...step,
        checkpoints: step.checkpoints.filter(([index]) => !omitted.has(`${String(row)}.${String(index)}`)),
    }));
    return [{ ...progress, steps }, omitted.size];
};

/**
 * Encodes the progress of a workflow in at most `maxBytes` bytes, if that is possible: without the longest checkpoints where
 * it is too long with them, whose tasks would start from their beginning under the next holder.
 */
export const encodeProgress = (progress: WorkflowProgress, maxBytes: number): EncodedProgress => {
    const value = JSON.stringify(progress);
    const excess = Buffer.byteLength(value) - maxBytes;
    if (excess <= 0) {
        return { value, omittedCheckpoints: 0 };
    }
    const [shortened, omittedCheckpoints] = omitCheckpoints(progress, excess);
    return { value: JSON.stringify(shortened), omittedCheckpoints };
};
