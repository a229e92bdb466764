import { sleep } from "@jayfront/world";

import type { Command, CommandContext } from "../command-context.js";
import { exitCodes, reportError } from "../command-context.js";
import { formatTable } from "../util/format-table.js";

interface CellView {
    readonly cell: string;
    readonly epoch: number;
    readonly role: string;
    readonly freeSlots: number;
    readonly queued: number;
    readonly workers: number;
    readonly pending: number;
    readonly running: number;
}

interface HostView {
    readonly host: string;
    readonly failureDomain: string;
    readonly isReady: boolean;
    readonly environmentVersion: number;
    readonly requestsInFlight: number;
    readonly cells: readonly CellView[];
}

interface WorkerView {
    readonly id: string;
    readonly failureDomain: string;
    readonly rack: string;
    readonly state: string;
    readonly cell?: string;
    readonly slots: number;
    readonly resources: { readonly cores: number; readonly memory: number; readonly accelerators: number; };
}

/** Milliseconds between two updates of `top`. */
const topInterval = 1_000;
/** ANSI sequence that clears the screen and moves the cursor to its top left. */
const clearScreen = "\u001b[2J\u001b[H";

const listHosts: Command = async context => {
    const answer = await context.client.call<{ hosts: HostView[]; silent: string[]; }>("GET", "/operator/hosts");
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    if (context.flags.json) {
        context.print(JSON.stringify(answer.value));
        return exitCodes.success;
    }
    context.print(
        formatTable(
            ["DOMAIN", "HOST", "READY", "VERSION", "CELLS", "IN FLIGHT"],
            answer.value.hosts.map(host => [
                host.failureDomain,
                host.host,
                host.isReady ? "yes" : "no",
                host.environmentVersion,
                host.cells.length,
                host.requestsInFlight,
            ]),
        ),
    );
    answer.value.silent.forEach(host => {
        context.print(`${host}: gave no answer`);
    });
    return exitCodes.success;
};

const listWorkers: Command = async context => {
    const answer = await context.client.call<WorkerView[]>("GET", "/operator/workers");
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    if (context.flags.json) {
        context.print(JSON.stringify(answer.value));
        return exitCodes.success;
    }
    context.print(
        formatTable(
            ["DOMAIN", "WORKER", "RACK", "CELL", "STATE", "CORES", "MEMORY", "ACCEL", "SLOTS"],
            answer.value.map(worker => [
                worker.failureDomain,
                worker.id,
                worker.rack,
                worker.cell ?? "-",
                worker.state,
                worker.resources.cores,
                worker.resources.memory,
                worker.resources.accelerators,
                worker.slots,
            ]),
        ),
    );
    return exitCodes.success;
};

const describeCells = (hosts: readonly HostView[]): string => {
    const cells = hosts.flatMap(host => host.cells.map(cell => ({ host, cell })))
        .sort((left, right) => left.cell.cell < right.cell.cell ? -1 : 1);
    return formatTable(
        ["CELL", "HOLDER", "ROLE", "EPOCH", "WORKERS", "FREE SLOTS", "QUEUED", "RUNNING", "PENDING"],
        cells.map(({ host, cell }) => [
            cell.cell,
            host.host,
            cell.role,
            cell.epoch,
            cell.workers,
            cell.freeSlots,
            cell.queued,
            cell.running,
            cell.pending,
        ]),
    );
};

/** Prints the cells once; returns the exit code where this fails, else undefined. */
const showTop = async (context: CommandContext): Promise<number | undefined> => {
    const answer = await context.client.call<{ hosts: HostView[]; }>("GET", "/operator/hosts");
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    if (context.flags.json) {
        context.print(JSON.stringify(answer.value));
    }
    else {
        context.print(
            `${context.isTerminal && !context.flags.once ? clearScreen : ""}${describeCells(answer.value.hosts)}`,
        );
    }
    return undefined;
};

/** Shows cells and their queues every second until it is interrupted; once with `--once`. */
export const topCommand: Command = async context => {
    for (;;) {
        const failureCode = await showTop(context);
        if (failureCode !== undefined || context.flags.once) {
            return failureCode ?? exitCodes.success;
        }
        await sleep(topInterval);
    }
};

/** Commands on entry hosts. */
export const hostCommands: Record<string, Command> = { list: listHosts };

/** Commands on workers. */
export const workerCommands: Record<string, Command> = { list: listWorkers };
