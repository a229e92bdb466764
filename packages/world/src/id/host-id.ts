import type { Branded } from "./branded.js";

/** Identifies an entry host that runs jayfrontd. */
export type HostId = Branded<string, "HostId">;

/** Brands `value` as a {@link HostId}. */
export const hostId = (value: string): HostId => value as HostId;
