import type { StateStore, WorkerGateway, WorkerReport } from "@jayfront/workflow";
import type { WorkerId } from "@jayfront/world";
import { Result } from "true-myth";

/** Makes a host's ports lie, so that the host behaves as if its contract had a fault. */
export interface PlantedFault {
    readonly gateway?: (gateway: WorkerGateway) => WorkerGateway;
    readonly store?: (store: StateStore) => StateStore;
}

/** Milliseconds by which a deadline counts from too late a moment: a host that was frozen for so long. */
const lateBy = 6_000;

const withReport = (
    gateway: WorkerGateway,
    change: (report: WorkerReport, worker: WorkerId) => WorkerReport,
): WorkerGateway => ({
    ...gateway,
    poll: async (worker, order) => (await gateway.poll(worker, order)).map(report => change(report, worker.id)),
});

/** Faults that a check worth its time has to catch, by name. */
export const plantedFaults = {
    "deadlines count from the answer to the renewal": {
        gateway: gateway => ({
            ...gateway,
            start: (worker, order) => gateway.start(worker, { ...order, deadline: order.deadline + lateBy }),
            poll: (worker, order) =>
                gateway.poll(
                    worker,
                    order.deadline === undefined ? order : { ...order, deadline: order.deadline + lateBy },
                ),
        }),
    },
    "a worker's clock is sampled after the renewal": {
        gateway: gateway => withReport(gateway, report => ({ ...report, clock: report.clock + lateBy })),
    },
    "a task starts again before a start without answer is settled": {
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
            const listed = new Map<WorkerId, number>();
            const noting = withReport(gateway, (report, worker) => {
                listed.set(worker, Math.max(0, ...report.ended.map(row => row.number)));
                return report;
            });
            return {
                ...noting,
                poll: (worker, order) =>
                    noting.poll(worker, {
                        ...order,
                        recordedEnd: Math.max(order.recordedEnd, listed.get(worker.id) ?? 0),
                    }),
            };
        },
    },
    "a silent worker counts as dead": {
        gateway: gateway => {
            const failures = new Map<WorkerId, number>();
            return {
                ...gateway,
                poll: async (worker, order) => {
                    const result = await gateway.poll(worker, order);
                    const count = result.isErr ? (failures.get(worker.id) ?? 0) + 1 : 0;
                    failures.set(worker.id, count);
                    // As if it had answered that nothing runs there.
                    return count < 2
                        ? result
                        : Result.ok({ clock: 0, bornAt: Date.now(), running: [], ended: [] });
                },
            };
        },
    },
    "a write without answer counts as refused": {
        store: store => ({
            ...store,
            commit: async transaction => {
                const result = await store.commit(transaction);
                return result.isErr && result.error.kind === "unknown"
                    ? Result.err({ kind: "refused", message: result.error.message })
                    : result;
            },
        }),
    },
} satisfies Record<string, PlantedFault>;

/** Name of a planted fault. */
export type PlantedFaultName = keyof typeof plantedFaults;
