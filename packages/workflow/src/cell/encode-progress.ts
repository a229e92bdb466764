import type { IndexRanges } from "@jayfront/world";
import { addIndex } from "@jayfront/world";

import type { StepProgress, WorkflowProgress } from "../ledger/workflow-progress.js";
import type { Step } from "../model/step.js";

/** A progress row's value. */
export interface EncodedProgress {
    readonly value: string;
    /** Number of checkpoints that were left out, since the value would be too long with them. */
    readonly omittedCheckpoints: number;
}

/** Ranges of consecutive numbers, each with its first and last one; the numbers rise within the result. */
const rangesOf = (numbers: readonly number[]): [number, number][] =>
    numbers.reduce<IndexRanges>((ranges, number) => addIndex(ranges, number), [])
        .map(([from, to]) => [from, to - 1]);
/** Writes the tasks that are done as ranges, and leaves steps out that are done in a range of occurrences. */
const compact = (progress: WorkflowProgress, steps: readonly Step[]): WorkflowProgress => {
    const isFinished = ({ step, done }: StepProgress): boolean => done.length === steps[step]?.count;
    const finished = progress.steps.filter(isFinished);
    return {
        ...progress,
        steps: progress.steps.filter(step => !isFinished(step))
            .map(step => ({ ...step, done: [], doneRanges: rangesOf(step.done) })),
        finished: [...steps.keys()].flatMap(step =>
            rangesOf(finished.filter(row => row.step === step).map(({ occurrence }) => occurrence))
                .map(([first, last]): [number, number, number] => [step, first, last])
        ),
    };
};
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
 * Encodes the progress of a workflow with these steps in at most `maxBytes` bytes, if that is possible: in a compact form
 * where the plain one is longer, and then without the longest checkpoints, whose tasks would start from their beginning
 * under the next holder.
 */
export const encodeProgress = (
    progress: WorkflowProgress,
    steps: readonly Step[],
    maxBytes: number,
): EncodedProgress => {
    const plain = JSON.stringify(progress);
    if (Buffer.byteLength(plain) <= maxBytes) {
        return { value: plain, omittedCheckpoints: 0 };
    }
    const compacted = compact(progress, steps);
    const excess = Buffer.byteLength(JSON.stringify(compacted)) - maxBytes;
    const [shortened, omittedCheckpoints] = omitCheckpoints(compacted, excess);
    return { value: JSON.stringify(shortened), omittedCheckpoints };
};
