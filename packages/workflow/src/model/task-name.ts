import type { Branded, JobId } from "@jayfront/world";

/** Names a task of a workflow: `<job>.<occurrence>.<step>.<index>`. */
export type TaskName = Branded<string, "TaskName">;

/** Parts of a {@link TaskName}. */
export interface TaskNameParts {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Builds the name of a task. */
export const taskName = ({ job, occurrence, step, index }: TaskNameParts): TaskName =>
    `${job}.${String(occurrence)}.${String(step)}.${String(index)}` as TaskName;
