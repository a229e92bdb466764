import type { TaskPayload } from "../task-payload.js";

/** Parses a task's payload; one that is not a JSON object is read as empty. */
export const readPayload = (payload: string): TaskPayload => {
    try {
        const value: unknown = JSON.parse(payload);
        return typeof value === "object" && value !== null ? value : {};
    }
    catch {
        return {};
    }
};
