import type { Resources } from "../resources.js";

/** The dimensions of {@link Resources}, in the order in which messages list them. */
export const resourceDimensions = ["cores", "memory", "accelerators"] as const;

/** Zero in every dimension. */
export const noResources: Resources = { cores: 0, memory: 0, accelerators: 0 };

/** `left` plus `factor` times `right`; a factor of -1 subtracts. */
export const addResources = (left: Resources, right: Resources, factor = 1): Resources => ({
    cores: left.cores + right.cores * factor,
    memory: left.memory + right.memory * factor,
    accelerators: left.accelerators + right.accelerators * factor,
});

/** Whether `needed` fits into `free` in every dimension, up to rounding errors. */
export const fitsResources = (needed: Resources, free: Resources): boolean =>
    resourceDimensions.every(dimension => needed[dimension] <= free[dimension] + 1e-9);
