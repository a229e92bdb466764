import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Varies `milliseconds` by up to 20 % in both directions, so that hosts do not act at the same time. */
export const jitter = (random: RandomGenerator, milliseconds: number): number =>
    milliseconds * (0.8 + 0.4 * uniformFloat64(random));
