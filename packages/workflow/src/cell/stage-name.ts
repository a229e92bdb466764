import type { StageCandidate } from "./stage-candidate.js";

/** Name of a stage: `<job>.<occurrence>.<step>`. */
export const stageName = ({ ledger, stage }: Pick<StageCandidate, "ledger" | "stage">): string =>
    `${ledger.workflow.id}.${String(stage.occurrence)}.${String(stage.stepIndex)}`;
