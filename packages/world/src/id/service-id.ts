import type { Branded } from "./branded.js";

/** Identifies a latency-critical service. */
export type ServiceId = Branded<string, "ServiceId">;

/** Brands `value` as a {@link ServiceId}. */
export const serviceId = (value: string): ServiceId => value as ServiceId;
