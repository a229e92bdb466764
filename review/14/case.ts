import type { Host } from "../lib-3/fleet.js";
import { call, pause, runCase, taskCpu } from "../lib-3/fleet.js";

/** Jobs, each of three steps, the last of which starts later than `cancel_ms`. */
const jobs = 5;
const work = 2_200;
/** Milliseconds after the acknowledgement of a cancellation in which tasks may still start (`cancel_ms`). */
const cancelTime = 3_000;
/** Milliseconds for which a machine may stand still (`for_s` of `node_freeze`: 4.0). */
const longestFreeze = 4_000;
/** Milliseconds until all that could start has started. */
const observationTime = 14_000;

const at = (hosts: readonly Host[], number: number): Host => {
    const host = hosts[number % hosts.length];
    if (host === undefined) {
        throw new Error("there is no host");
    }
    return host;
};
const step = { count: 2, cpu: taskCpu, memoryRequestMb: 100, estimatedMs: work };

void runCase("14", { hostsPerZone: 2, workersPerZone: 2, tasksPerWorker: 8 }, async (fleet, hasTrouble) => {
    const { hosts, note, platform } = fleet;
    await pause(3_000);
    const holders = platform.store.rows("cells").filter(({ key }) => key === "holder")
        .map(({ value }) => (value as { readonly host: string; }).host);
    const others = hosts.filter(({ id }) => !holders.includes(id));
    const frozen = at(others, 0);
    const awake = others.filter(host => host !== frozen);
    note(`held by ${holders.join(", ")}; ${frozen.id} gets the jobs`);
    const cancelledAt = new Map<string, number>();
    if (hasTrouble) {
        frozen.signal("SIGSTOP");
        note(`${frozen.id} stands still`);
    }
    const frozenAt = performance.now();
    await Promise.all(Array.from({ length: jobs }, async (...[, number]) => {
        const id = `e${number.toString(16).padStart(15, "0")}`;
        const { status } = await call(frozen, "POST", `/orders/${id}`, {
            specification: JSON.stringify({ work }),
            steps: [step, { ...step, after: [0] }, { ...step, after: [1] }],
        });
        note(`POST ${id} to ${frozen.id}: ${status === 0 ? "no answer, the client leaves" : String(status)}`);
        // The client wants no job whose answer it has not got; one that was accepted is cancelled as well.
        while (!cancelledAt.has(id)) {
            const other = at(awake, number);
            const answer = await call(other, "DELETE", `/orders/${id}`);
            note(`DELETE ${id} at ${other.id}: ${String(answer.status)}`);
            if (answer.status === 200 || answer.status === 410) {
                cancelledAt.set(id, performance.now());
            }
            else {
                await pause(200);
            }
        }
    }));
    if (hasTrouble) {
        frozen.signal("SIGCONT");
        const frozenFor = performance.now() - frozenAt;
        note(`${frozen.id} goes on after ${frozenFor.toFixed(0)} ms`);
        if (frozenFor > longestFreeze) {
            throw new Error("the machine was too slow: the host stood still for too long");
        }
    }
    await pause(observationTime);
    const lateStarts = platform.journal.events.filter(event => {
        const cancelled = cancelledAt.get(event.task.split(".")[0] ?? "") ?? Infinity;
        return event.kind === "started" && event.at > cancelled + cancelTime;
    });
    for (const event of platform.journal.events) {
        const cancelled = cancelledAt.get(event.task.split(".")[0] ?? "");
        if (event.kind !== "acknowledged" && cancelled !== undefined) {
            const how = event.kind === "ended" ? event.how : "";
            const after = ((event.at - cancelled) / 1_000).toFixed(2);
            note(`${event.worker} ${event.task} ${event.kind} ${how} ${after} s after the cancellation`);
        }
    }
    for (const [number, id] of [...cancelledAt.keys()].entries()) {
        const { status, state = "" } = await call(at(hosts, number), "GET", `/orders/${id}`);
        note(`GET ${id}: ${String(status)} ${state}`);
    }
    note(`${String(lateStarts.length)} starts over ${String(cancelTime)} ms after the acknowledged cancellation`);
    return lateStarts.length > 0;
});
