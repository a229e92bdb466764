/** Sorted, disjoint, half-open ranges of task indices: `[[0, 3], [5, 6]]` contains 0, 1, 2 and 5. */
export type IndexRanges = readonly (readonly [from: number, to: number])[];
