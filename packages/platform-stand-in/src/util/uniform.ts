import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Draws a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
export const uniform = (random: RandomGenerator): number => uniformFloat64(random);
