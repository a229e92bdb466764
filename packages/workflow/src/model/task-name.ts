import type { Branded, JobId } from "@jayfront/world";

/** Name of a task: `<job>.<occurrence>.<step>.<index>`. */
export type TaskName = Branded<string, "TaskName">;

/** Parts of a {@link TaskName}. */
export interface TaskNameParts {
    /** Workflow of the task. */
    readonly job: JobId;
    /** Index of the occurrence in the workflow's schedule, from 0. */
    readonly occurrence: number;
    /** Index of the step in the workflow, from 0. */
    readonly step: number;
    /** Index of the task in the step, from 0. */
    readonly index: number;
}

/** Builds the name of a task. */
export const taskName = ({ job, occurrence, step, index }: TaskNameParts): TaskName =>
    `${job}.${String(occurrence)}.${String(step)}.${String(index)}` as TaskName;
