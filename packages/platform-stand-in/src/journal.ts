/** An event on a machine of the stand-in. A `breach` violates a guarantee; `refused` is a call that was refused. */
export interface JournalEntry {
    /** Monotonic time of the stand-in in milliseconds. */
    readonly at: number;
    readonly kind:
        | "task-started"
        | "task-resumed"
        | "task-ended"
        | "machine-lost"
        | "request-admitted"
        | "request-ended"
        | "refused"
        | "breach";
    readonly worker: string;
    /** Task, service of a request, or refused command. */
    readonly subject: string;
    /** Attempt, outcome, checkpoint, request id, code of the refusal or kind of breach. */
    readonly detail: string;
}

/** Events of the stand-in, from which tests check the guarantees. */
export interface Journal {
    readonly record: (kind: JournalEntry["kind"], worker: string, subject: string, detail: string) => void;
    /** The recorded entries, up to the journal's capacity. */
    readonly entries: readonly JournalEntry[];
    /** Number of entries ever recorded, by `kind` and `kind:detail`. */
    readonly counts: ReadonlyMap<string, number>;
}

/** Kinds that are also counted by detail; their details have few distinct values. */
const countedByDetail: readonly JournalEntry["kind"][] = ["task-ended", "refused", "breach"];

/** Options of {@link createJournal}. */
export interface JournalOptions {
    /** Maximum number of entries kept; later ones are only counted. Default 200,000. */
    readonly capacity?: number;
}

/** Creates an empty journal. */
export const createJournal = ({ capacity = 200_000 }: JournalOptions = {}): Journal => {
    const entries: JournalEntry[] = [];
    const counts = new Map<string, number>();
    const increment = (name: string): void => {
        counts.set(name, (counts.get(name) ?? 0) + 1);
    };
    return {
        entries,
        counts,
        record: (kind, worker, subject, detail) => {
            if (entries.length < capacity) {
                entries.push({ at: performance.now(), kind, worker, subject, detail });
            }
            increment(kind);
            if (countedByDetail.includes(kind)) {
                increment(`${kind}:${detail}`);
            }
        },
    };
};
