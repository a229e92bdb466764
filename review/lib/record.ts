import { createWriteStream } from "node:fs";

/** Writes what was sent, answered and run to the record of a case, one line for each event. */
export interface CaseRecord {
    /** Adds a line with the milliseconds since the record was opened. */
    readonly add: (line: string) => void;
    /** Milliseconds since the record was opened. */
    readonly now: () => number;
    readonly close: () => Promise<void>;
}

/** Opens a record, which replaces an earlier one. */
export const openRecord = (path: string): CaseRecord => {
    const output = createWriteStream(path);
    const openedAt = performance.now();
    const now = (): number => Math.round(performance.now() - openedAt);
    return {
        add: line => {
            output.write(`${String(now()).padStart(6)} ${line}\n`);
        },
        now,
        close: () =>
            new Promise(resolve => {
                output.end(resolve);
            }),
    };
};
