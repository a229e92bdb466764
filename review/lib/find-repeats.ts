import type { WorkerEvent } from "./worker.js";

/**
 * Breaches of TWICE: starts of a task after a run of it has ended `done`, if that end was taken note of at some time, and
 * starts while another run of the task is under way.
 */
export const findRepeats = (events: readonly WorkerEvent[]): readonly string[] => {
    const notedEnds = new Set(
        events.filter(({ kind, how }) => kind === "noted" && how === "done").map(event => keyOf(event)),
    );
    const doneAt = new Map<string, WorkerEvent>();
    const underWay = new Map<string, WorkerEvent>();
    const breaches: string[] = [];
    for (const event of events) {
        const { task, run, worker, kind, how, at } = event;
        if (kind === "started") {
            const done = doneAt.get(task);
            const other = underWay.get(task);
            if (done !== undefined) {
                breaches.push(
                    `TWICE: ${task} run ${String(run)} started on ${worker} ${
                        String(Math.round(at - done.at))
                    } ms after `
                        + `run ${String(done.run)} ended done on ${done.worker}, which was taken note of`,
                );
            }
            if (other !== undefined) {
                breaches.push(
                    `TWICE: ${task} run ${String(run)} started on ${worker} while run ${String(other.run)} runs on `
                        + other.worker,
                );
            }
            underWay.set(task, event);
        }
        else if (kind !== "noted") {
            if (underWay.get(task)?.run === run) {
                underWay.delete(task);
            }
            if (how === "done" && notedEnds.has(keyOf(event))) {
                doneAt.set(task, event);
            }
        }
    }
    return breaches;
};

const keyOf = ({ worker, task, run }: WorkerEvent): string => `${worker} ${task} ${String(run)}`;
