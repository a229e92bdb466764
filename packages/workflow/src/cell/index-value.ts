import type { CellId } from "@jayfront/world";

/** What the index tells of a workflow id: the cell that stores the workflow, or that its submission was cancelled. */
export type IndexValue =
    | { readonly kind: "stored"; readonly cell: CellId; }
    | { readonly kind: "cancelled"; };

/** Value of the index row of an id whose cancellation came before its submission; no cell has this name. */
const cancelledValue = "cancelled";

/** Encodes and decodes the value of an index row. */
export const indexValue = {
    encode: (value: IndexValue): string => value.kind === "cancelled" ? cancelledValue : value.cell,
    decode: (value: string): IndexValue =>
        value === cancelledValue ? { kind: "cancelled" } : { kind: "stored", cell: value as CellId },
} as const;
