import type { JournalEntry } from "@jayfront/platform-stand-in";

/** Something that happened in a run and may be a step. */
export interface MatrixEvent {
    /** `platform:<call>`, `network:<message>`, `run:<name>` or `journal`. */
    readonly name: string;
    /** Rows that a commit to the store writes; empty for other events. */
    readonly writes: readonly { readonly key: string; readonly value: unknown; }[];
    /** Entry of the stand-in's journal; undefined for other events. */
    readonly entry: JournalEntry | undefined;
    /** Id of the host that caused the event; undefined if not known. */
    readonly host: string | undefined;
}

/** Tells whether an event is the step, that is the point of the run at which the faults are injected. */
export type MatrixStep = (event: MatrixEvent) => boolean;

/** The fields of stored chunk and outcome rows that are read here. */
interface ChunkRow {
    readonly first?: number;
    readonly intentUpTo?: number;
    readonly finished?: readonly unknown[];
    readonly evicted?: object;
}

const writesChunk = (event: MatrixEvent, condition: (chunk: ChunkRow) => boolean): boolean =>
    event.writes.some(({ key, value }) =>
        (key.startsWith("chunk/") || key.startsWith("outcome/")) && value !== undefined && condition(value as ChunkRow)
    );
const writesKey = (event: MatrixEvent, prefix: string): boolean =>
    event.writes.some(({ key }) => key.startsWith(prefix));
const isJournalEntry = (event: MatrixEvent, kind: JournalEntry["kind"], detail?: string): boolean =>
    event.entry?.kind === kind && (detail === undefined || event.entry.detail === detail);

/** All steps by name: those of a job first, then of a request, a configuration change and a host, each in order. */
export const matrixSteps: Readonly<Record<string, MatrixStep>> = {
    "job accepted": event => event.name === "run:job accepted",
    "chunk bound": event => writesKey(event, "job/"),
    "intent written": event =>
        writesKey(event, "request/") || writesChunk(event, chunk => (chunk.intentUpTo ?? 0) > (chunk.first ?? 0)),
    "task started": event => event.name === "platform:tasks.start",
    "task running": event => isJournalEntry(event, "task-started"),
    checkpointed: event => isJournalEntry(event, "task-ended", "checkpointed"),
    evicted: event => writesChunk(event, chunk => Object.keys(chunk.evicted ?? {}).length > 0),
    resumed: event => isJournalEntry(event, "task-resumed"),
    finished: event => isJournalEntry(event, "task-ended", "finished"),
    "outcome recorded": event => writesChunk(event, chunk => (chunk.finished ?? []).length > 0),
    "request received": event => event.name === "run:request received",
    "request forwarded": event => event.name === "network:forward",
    "request dispatched": event => event.name === "platform:endpoints.dispatch",
    answering: event => isJournalEntry(event, "request-admitted"),
    answered: event => isJournalEntry(event, "request-ended"),
    "configuration stored": event => writesKey(event, "environment/trial"),
    promoted: event => writesKey(event, "environment/production"),
    spread: event => event.name === "network:environment-wanted",
    "host joining": event => event.name === "run:host joining",
    "host draining": event => event.name === "run:host draining",
};
