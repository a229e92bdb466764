import type { PlatformError, PlatformTransport, TableTransaction } from "@jayfront/platform";
import { platformErrors } from "@jayfront/platform";
import type { CheckpointId, Fence, Host, TaskStart, Worker, WorkerId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Result } from "true-myth";

import type { FaultInjector, InjectionPoint } from "./fault-injector.js";
import { createFaultInjector } from "./fault-injector.js";
import type { HiddenBehaviour } from "./hidden-behaviour.js";
import type { Journal } from "./journal.js";
import { createJournal } from "./journal.js";
import type { LiveListService } from "./live-list-service.js";
import { createLiveListService } from "./live-list-service.js";
import type { TableService } from "./table-service.js";
import { createTableService } from "./table-service.js";
import type { WorkerMachine } from "./worker-machine.js";
import { createWorkerMachine } from "./worker-machine.js";

/** A simulated platform: its services, its workers, and the controls of a test. */
export interface StandIn {
    readonly journal: Journal;
    readonly table: TableService;
    readonly liveList: LiveListService;
    readonly faults: FaultInjector;
    readonly hidden: HiddenBehaviour;
    /** Machines by worker. */
    readonly machines: ReadonlyMap<WorkerId, WorkerMachine>;
    /** Transport for a caller at `from`: its failure domain and, where known, its host. */
    readonly transport: (from: readonly string[]) => PlatformTransport;
    /** Kills a machine and removes it from the live list after the list's lag. */
    readonly killWorker: (worker: WorkerId) => void;
    /** Restarts a machine with empty memory and lists it after the list's lag. */
    readonly restartWorker: (worker: WorkerId) => void;
    /** Lets a machine refuse new tasks and requests, and lists it as draining after the list's lag. */
    readonly drainWorker: (worker: WorkerId) => void;
}

/** Options of {@link createStandIn}. */
export interface StandInOptions {
    readonly workers: readonly Worker[];
    readonly hidden: HiddenBehaviour;
    /** Seed of the random numbers. Default 1. */
    readonly seed?: number;
    /** Milliseconds after which the live list shows a change. Default 2,000. */
    readonly listLag?: number;
    /** Milliseconds between the end of a usage window and its report. Default 2,000. */
    readonly reportLag?: number;
    /** Milliseconds after which an unanswered call fails as `unknown`. Default 1,000. */
    readonly timeout?: number;
    /** Latency of a call in milliseconds. Default 1. */
    readonly latency?: number;
    /** Deliberate fault: workers accept commands under any fence. Default false. */
    readonly ignoresFence?: boolean;
}

const injectionPointOf = (path: string): InjectionPoint => path.split("/")[1] as InjectionPoint;

/** Creates a platform whose `workers` are up and listed. */
export const createStandIn = (options: StandInOptions): StandIn => {
    const { workers, hidden, seed = 1, timeout = 1_000, latency = 1 } = options;
    const random = xoroshiro128plus(seed);
    const journal = createJournal();
    const table = createTableService();
    const liveList = createLiveListService(options.listLag === undefined ? {} : { lag: options.listLag });
    const faults = createFaultInjector(random);
    const objects = new Map<string, string>();
    const checkpoints = new Map<CheckpointId, number>();
    const machines = new Map<WorkerId, WorkerMachine>();
    const initialLag = liveList.lag;
    liveList.lag = 0;
    for (const worker of workers) {
        machines.set(
            worker.id,
            createWorkerMachine({
                worker,
                journal,
                hidden,
                random,
                checkpoints,
                ignoresFence: options.ignoresFence ?? false,
                ...(options.reportLag === undefined ? {} : { reportLag: options.reportLag }),
            }),
        );
        liveList.update(worker);
    }
    liveList.lag = initialLag;

    const storeHandlers: Record<string, (body: never) => Result<unknown, PlatformError>> = {
        "/table/get": ({ key }: { key: string; }) => Result.ok(table.get(key)),
        "/table/scan": ({ prefix }: { prefix: string; }) => Result.ok(table.scan(prefix)),
        "/table/commit": (transaction: TableTransaction) => table.commit(transaction),
        "/objects/put": ({ name, value }: { name: string; value: string; }) => {
            objects.set(name, value);
            return Result.ok(undefined);
        },
        "/objects/get": ({ name }: { name: string; }) => Result.ok(objects.get(name)),
        "/live-list/read": ({ failureDomain }: { failureDomain?: string; }) => Result.ok(liveList.read(failureDomain)),
        "/live-list/announce": (host: Host) => {
            liveList.announce(host);
            return Result.ok(undefined);
        },
    };
    const workerHandlers: Record<string, (machine: WorkerMachine, body: never) => Result<unknown, string>> = {
        "/tasks/adopt": (machine, body) => machine.adopt(body),
        "/tasks/renew": (machine, body) => machine.renew(body),
        "/tasks/start": (machine, { fence, tasks }: { fence: Fence; tasks: TaskStart[]; }) =>
            machine.start(fence, tasks),
        "/tasks/throttle": (machine, { fence, attempts, level }: never) => machine.throttle(fence, attempts, level),
        "/tasks/checkpoint": (machine, { fence, attempt }: never) => machine.checkpoint(fence, attempt),
        "/tasks/stop": (machine, { fence, attempts }: never) => machine.stop(fence, attempts),
    };
    const execute = (worker: Worker | undefined, path: string, body: unknown): Result<unknown, PlatformError> => {
        if (worker === undefined) {
            return storeHandlers[path]?.(body as never) ?? Result.err(platformErrors.refused(path, "unknown-path"));
        }
        const machine = machines.get(worker.id);
        if (machine === undefined || machine.condition() === "dead") {
            return Result.err(platformErrors.unavailable(path));
        }
        const answer = workerHandlers[path]?.(machine, body as never) ?? Result.err("unknown-path");
        return answer.mapErr(code => platformErrors.refused(path, code));
    };
    const isPaused = (worker: Worker | undefined): boolean =>
        worker !== undefined && machines.get(worker.id)?.condition() === "paused";

    const timeOut = async (path: string): Promise<Result<unknown, PlatformError>> => {
        await sleep(timeout);
        return Result.err(platformErrors.unknown(path));
    };
    const transport = (from: readonly string[]): PlatformTransport => async (worker, path, body) => {
        const to = worker === undefined ? [] : [worker.id, worker.failureDomain];
        const triggered = faults.trigger({ door: injectionPointOf(path), path, from, to });
        if (triggered.some(fault => fault.action === "outage")) {
            await sleep(latency);
            return Result.err(platformErrors.unavailable(path));
        }
        const delay = triggered.reduce(
            (sum, fault) => sum + (fault.action === "delay" ? fault.delay ?? 0 : 0),
            latency,
        );
        if (triggered.some(fault => fault.action === "drop") || isPaused(worker)) {
            return timeOut(path);
        }
        if (delay >= timeout) {
            setTimeout(() => execute(worker, path, body), delay);
            return timeOut(path);
        }
        await sleep(delay);
        const answer = execute(worker, path, body);
        return triggered.some(fault => fault.action === "lose-reply") ? timeOut(path) : answer;
    };
    const requireMachine = (worker: WorkerId): WorkerMachine => {
        const machine = machines.get(worker);
        if (machine === undefined) {
            throw new Error(`worker ${worker} does not exist; name one of the stand-in's workers`);
        }
        return machine;
    };
    return {
        journal,
        table,
        liveList,
        faults,
        hidden,
        machines,
        transport,
        killWorker: worker => {
            requireMachine(worker).kill();
            liveList.remove(requireMachine(worker).worker());
        },
        restartWorker: worker => {
            requireMachine(worker).restart();
            liveList.update(requireMachine(worker).worker());
        },
        drainWorker: worker => {
            requireMachine(worker).setDraining();
            liveList.update(requireMachine(worker).worker());
        },
    };
};
