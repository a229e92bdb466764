import type { ProtocolEvent } from "./protocol-journal.js";

/** Whether copies of a task may run in parallel. */
export type IsSpeculative = (task: string) => boolean;

/**
 * Finds the first violation of a guarantee in the journal: a task that was started while another run of it was
 * active, or after it ended as `done`, if that end was recorded then or later and the worker's lease had not expired in
 * between. Speculative tasks are not checked. Returns a description of the violation, or undefined if there is none.
 */
export const findBreach = (
    events: readonly ProtocolEvent[],
    isSpeculative: IsSpeculative = () => false,
): string | undefined => {
    const running = new Map<string, string>();
    const done = new Set<string>();
    /** Monotonic times in milliseconds of the last starts. */
    const startedAt = new Map<string, number>();
    for (const event of events) {
        const { task, worker } = event;
        if (isSpeculative(task)) {
            continue;
        }
        if (event.kind === "started") {
            const other = running.get(task);
            if (other !== undefined) {
                return `${task} started on ${worker} at ${String(event.at)} while it runs on ${other}`;
            }
            if (done.has(task)) {
                return `${task} started on ${worker} at ${String(event.at)} after its end was recorded`;
            }
            running.set(task, worker);
            startedAt.set(task, event.at);
        }
        else if (event.kind === "ended") {
            running.delete(task);
        }
        else if (event.how === "done") {
            const lastStart = startedAt.get(task) ?? -Infinity;
            if (lastStart > event.endedAt && !event.hasLapsed) {
                const endedAt = String(event.endedAt);
                return `${task} started at ${
                    String(lastStart)
                } after it ended on ${worker} at ${endedAt}, recorded later`;
            }
            done.add(task);
        }
    }
    return undefined;
};
