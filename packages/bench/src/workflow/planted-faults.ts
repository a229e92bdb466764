import type { StateStore, WorkerGateway, WorkerReport } from "@jayfront/workflow";
import type { WorkerId } from "@jayfront/world";
import { Result } from "true-myth";

/** Wraps a host's worker gateway or store so that the host behaves as if its protocol had a fault. */
export interface PlantedFault {
    readonly gateway?: (gateway: WorkerGateway) => WorkerGateway;
    readonly store?: (store: StateStore) => StateStore;
}

/** Milliseconds by which a deadline or a clock sample is too late, as on a host that was frozen for that long. */
const timeShift = 6_000;

const withReport = (
    gateway: WorkerGateway,
    change: (report: WorkerReport, worker: WorkerId) => WorkerReport,
): WorkerGateway => ({
    ...gateway,
    poll: async (worker, order) => (await gateway.poll(worker, order)).map(report => change(report, worker.id)),
});

/** Faults by name, each of which the random days or a scripted test has to detect. */
export const plantedFaults = {
    "deadlines count from the answer to the renewal": {
        gateway: gateway => ({
            ...gateway,
            start: (worker, order) => gateway.start(worker, { ...order, deadline: order.deadline + timeShift }),
            poll: (worker, order) =>
                gateway.poll(
                    worker,
                    order.deadline === undefined ? order : { ...order, deadline: order.deadline + timeShift },
                ),
        }),
    },
    "a worker's clock is sampled after the renewal": {
        gateway: gateway => ({
            ...withReport(gateway, report => ({ ...report, clock: report.clock + timeShift })),
            start: async (worker, order) => (await gateway.start(worker, order)).map(clock => clock + timeShift),
        }),
    },
    "a task starts again before an unanswered start is resolved": {
        gateway: gateway => ({
            ...gateway,
            start: async (worker, order) => {
                const result = await gateway.start(worker, order);
                return result.isErr && result.error.kind === "unknown"
                    ? Result.err({ kind: "not-sent", message: result.error.message })
                    : result;
            },
        }),
    },
    "ends are acknowledged before they are written": {
        gateway: gateway => {
            const reportedEnds = new Map<WorkerId, number>();
            const recording = withReport(gateway, (report, worker) => {
                reportedEnds.set(worker, Math.max(0, ...report.ended.map(row => row.number)));
                return report;
            });
            return {
                ...recording,
                poll: (worker, order) =>
                    recording.poll(worker, {
                        ...order,
                        recordedEnd: Math.max(order.recordedEnd, reportedEnds.get(worker.id) ?? 0),
                    }),
            };
        },
    },
    "a silent worker counts as dead": {
        gateway: gateway => {
            const failureCounts = new Map<WorkerId, number>();
            return {
                ...gateway,
                poll: async (worker, order) => {
                    const result = await gateway.poll(worker, order);
                    const count = result.isErr ? (failureCounts.get(worker.id) ?? 0) + 1 : 0;
                    failureCounts.set(worker.id, count);
                    // From the second failure in a row on, reports that nothing runs on the worker.
                    return count < 2
                        ? result
                        : Result.ok({ clock: 0, bornAt: Date.now(), running: [], ended: [], hasAllEnds: true });
                },
            };
        },
    },
    "an unanswered write counts as refused": {
        store: store => ({
            ...store,
            commit: async (transaction, timeout) => {
                const result = await store.commit(transaction, timeout);
                return result.isErr && result.error.kind === "unknown"
                    ? Result.err({ kind: "refused", message: result.error.message })
                    : result;
            },
        }),
    },
} satisfies Record<string, PlantedFault>;

/** Name of a planted fault. */
export type PlantedFaultName = keyof typeof plantedFaults;
