import { writeFileSync } from "node:fs";

/** Collects what was sent, answered and run, and writes it to the record of a case. */
export interface Recorder {
    /** Milliseconds since the start of the case. */
    readonly now: () => number;
    readonly add: (who: string, what: string, details?: object) => void;
    /** Writes all entries to the file. */
    readonly save: (path: string) => void;
}

/** Creates an empty recorder, whose time starts now. */
export const createRecorder = (): Recorder => {
    const startedAt = performance.now();
    const lines: string[] = [];
    const now = (): number => Math.round(performance.now() - startedAt);
    return {
        now,
        add: (who, what, details = {}) => {
            const text = Object.entries(details).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
            lines.push(`${String(now()).padStart(7)} ${who} ${what} ${text}`.trimEnd());
        },
        save: path => {
            writeFileSync(path, `${lines.join("\n")}\n`);
        },
    };
};
