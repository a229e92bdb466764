/** What a worker did, as nobody but the stand-in sees it; times in ms of the steady clock. */
export type ProtocolEvent =
    | {
        readonly kind: "started";
        readonly at: number;
        readonly worker: string;
        readonly task: string;
        readonly run: number;
    }
    | {
        readonly kind: "ended";
        readonly at: number;
        readonly worker: string;
        readonly task: string;
        readonly run: number;
        readonly how: string;
    }
    /** The worker was allowed to forget an end. */
    | {
        readonly kind: "acknowledged";
        readonly at: number;
        readonly worker: string;
        readonly task: string;
        readonly how: string;
    };

/** Everything that workers did, in order. */
export interface ProtocolJournal {
    readonly events: readonly ProtocolEvent[];
    readonly record: (event: ProtocolEvent) => void;
}

/** Creates an empty journal. */
export const createProtocolJournal = (): ProtocolJournal => {
    const events: ProtocolEvent[] = [];
    return {
        events,
        record: event => {
            events.push(event);
        },
    };
};
