import { Result } from "true-myth";

import type { StoredRow } from "../port/state-store.js";
import type { SettledWorkflow } from "./settled-workflow.js";
import { settledWorkflow } from "./settled-workflow.js";

/** Decodes the row of a workflow that has ended; the error describes what is not valid. */
export const decodeSettledWorkflow = (row: StoredRow): Result<SettledWorkflow, string> => {
    try {
        return Result.ok(settledWorkflow.parse(JSON.parse(row.value)));
    }
    catch (error) {
        return Result.err(`the row of the ended workflow ${row.key} is not valid: ${String(error)}`);
    }
};
