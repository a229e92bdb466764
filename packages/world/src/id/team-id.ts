import type { Branded } from "./branded.js";

/** Identifies a team, to which quotas and fair shares apply. */
export type TeamId = Branded<string, "TeamId">;

/** Brands `value` as a {@link TeamId}. */
export const teamId = (value: string): TeamId => value as TeamId;
