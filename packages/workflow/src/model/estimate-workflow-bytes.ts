import type { Workflow } from "./workflow.js";

/** Bytes of a step without its texts and the list of earlier steps; measured on steps with the default values. */
const stepBytes = 250;
/** Bytes of a number in a list. */
const numberBytes = 8;

/** Estimates the bytes of memory that a decoded workflow takes. */
export const estimateWorkflowBytes = ({ payload, steps }: Workflow): number =>
    steps.reduce(
        (bytes, { after, requiredLabel = "", preferredRack = "", image = "" }) =>
            bytes + stepBytes + after.length * numberBytes + requiredLabel.length + preferredRack.length + image.length,
        payload.length,
    );
