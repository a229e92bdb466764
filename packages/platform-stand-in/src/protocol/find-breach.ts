import type { ProtocolEvent } from "./protocol-journal.js";

/** Whether copies of a task may run in parallel. */
export type IsSpeculative = (task: string) => boolean;

/**
 * Finds the first violation of a guarantee in the journal: a task that was started while another run of it was
 * active, or after its end as `done` was recorded. Speculative tasks are not checked. Returns a description of the
 * violation, or undefined if there is none.
 */
export const findBreach = (
    events: readonly ProtocolEvent[],
    isSpeculative: IsSpeculative = () => false,
): string | undefined => {
    const running = new Map<string, string>();
    const done = new Set<string>();
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
        }
        else if (event.kind === "ended") {
            running.delete(task);
        }
        else if (event.how === "done") {
            done.add(task);
        }
    }
    return undefined;
};
