import type { WorkerGateway } from "@jayfront/workflow";

/** Processor of an entry host that has to carry out the work which runs cause. */
export interface Processor {
    /** Cores that the host may use; may be a fraction. */
    readonly cores: number;
    /** Milliseconds of one core that a run takes, from the placement of the task to the record of its end. */
    readonly timePerRun: number;
}

/** Delays each call to a worker until the host's processor has carried out the work of the starts before it. */
export const limitProcessor = (gateway: WorkerGateway, { cores, timePerRun }: Processor): WorkerGateway => {
    let busyUntil = 0;
    const takeTurn = async (work = 0): Promise<void> => {
        const now = performance.now();
        busyUntil = Math.max(now, busyUntil) + work / cores;
        const delay = busyUntil - now;
        await new Promise(resolve => {
            setTimeout(resolve, delay);
        });
    };
    return {
        ...gateway,
        start: async (worker, order) => {
            await takeTurn(timePerRun);
            return await gateway.start(worker, order);
        },
        stop: async (worker, order) => {
            await takeTurn();
            return await gateway.stop(worker, order);
        },
        poll: async (worker, order) => {
            await takeTurn();
            return await gateway.poll(worker, order);
        },
        throttle: async (worker, order) => {
            await takeTurn();
            return await gateway.throttle(worker, order);
        },
    };
};
