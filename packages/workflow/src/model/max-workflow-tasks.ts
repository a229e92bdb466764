/** Largest number of tasks in the steps of a workflow, of one occurrence; its holder keeps the state of each in memory. */
export const maxWorkflowTasks = 200_000;
