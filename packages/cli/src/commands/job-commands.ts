import { sleep } from "@jayfront/world";
import { SingleBar } from "cli-progress";

import type { Command, CommandContext } from "../command-context.js";
import { exitCodes, reportError } from "../command-context.js";
import { readTextFile } from "../util/read-text-file.js";

interface JobView {
    readonly id: string;
    readonly state: string;
    readonly team: string;
    readonly tasks: number;
    readonly finished: number;
    readonly failed: number;
    readonly cancelled: number;
    readonly inDoubt: readonly (readonly [number, number])[];
}

/** Milliseconds between two polls of a watched job. */
const watchInterval = 1_000;

const describeJob = (job: JobView): string => {
    const inDoubtSuffix = job.inDoubt.length === 0
        ? ""
        : `, in doubt ${
            job.inDoubt.map(([from, to]) => to - from === 1 ? String(from) : `${String(from)}-${String(to - 1)}`).join(
                " ",
            )
        }`;
    return `${job.id}: ${job.state}, ${String(job.finished)} of ${String(job.tasks)} finished, `
        + `${String(job.failed)} failed, ${String(job.cancelled)} cancelled${inDoubtSuffix}`;
};
const requireId = ({ positionals, printError }: CommandContext): string | undefined => {
    if (positionals[0] === undefined) {
        printError("no job given; write its id after the command");
    }
    return positionals[0];
};
const exitCodeOf = (job: JobView): number =>
    job.state === "settled" && job.failed === 0 ? exitCodes.success : exitCodes.refused;

const submit: Command = async context => {
    const text = await readTextFile(context.positionals[0]);
    if (text.isErr) {
        context.printError(text.error);
        return exitCodes.usage;
    }
    let specification: unknown;
    try {
        specification = JSON.parse(text.value);
    }
    catch {
        context.printError(
            `${context.positionals[0] ?? ""}: not valid JSON; write an object as in examples/granite-vale`,
        );
        return exitCodes.usage;
    }
    const answer = await context.client.call<{ id: string; chunks: number; }>("POST", "/jobs", specification);
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    context.print(context.flags.json ? JSON.stringify(answer.value) : answer.value.id);
    return exitCodes.success;
};

const status: Command = async context => {
    const id = requireId(context);
    if (id === undefined) {
        return exitCodes.usage;
    }
    const job = await context.client.call<JobView>("GET", `/jobs/${id}`);
    if (job.isErr) {
        return reportError(context, job.error);
    }
    context.print(context.flags.json ? JSON.stringify(job.value) : describeJob(job.value));
    return exitCodes.success;
};

const cancel: Command = async context => {
    const id = requireId(context);
    if (id === undefined) {
        return exitCodes.usage;
    }
    const answer = await context.client.call<object>("POST", `/jobs/${id}/cancel`);
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    context.print(context.flags.json ? JSON.stringify(answer.value) : `${id}: cancelling`);
    return exitCodes.success;
};

/** Prints progress as JSON or lines, or draws a bar on a terminal. */
const createProgress = (
    { isTerminal, flags, print }: CommandContext,
): { show: (job: JobView) => void; end: () => void; } => {
    if (flags.json || !isTerminal) {
        let lastLine = "";
        return {
            show: job => {
                const line = flags.json ? JSON.stringify(job) : describeJob(job);
                if (line !== lastLine) {
                    print(line);
                    lastLine = line;
                }
            },
            end: () => undefined,
        };
    }
    const bar = new SingleBar({ format: "{bar} {value}/{total} tasks, {failed} failed" });
    let isStarted = false;
    return {
        show: job => {
            const settled = job.finished + job.failed + job.cancelled;
            if (!isStarted) {
                bar.start(job.tasks, settled, { failed: job.failed });
                isStarted = true;
            }
            bar.update(settled, { failed: job.failed });
        },
        end: () => {
            bar.stop();
        },
    };
};

const watch: Command = async context => {
    const id = requireId(context);
    if (id === undefined) {
        return exitCodes.usage;
    }
    const progress = createProgress(context);
    for (;;) {
        const job = await context.client.call<JobView>("GET", `/jobs/${id}`);
        if (job.isErr) {
            progress.end();
            return reportError(context, job.error);
        }
        progress.show(job.value);
        if (job.value.state === "settled" || job.value.state === "in-doubt") {
            progress.end();
            return exitCodeOf(job.value);
        }
        await sleep(watchInterval);
    }
};

const resolve: Command = async context => {
    const id = requireId(context);
    const { index, as } = context.flags;
    if (id === undefined || index === undefined || as === undefined) {
        context.printError("usage: jayfront job resolve ID --index N --as finished|failed|run-again");
        return exitCodes.usage;
    }
    const answer = await context.client.call<object>("POST", `/operator/jobs/${id}/resolve`, { index, as });
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    context.print(
        context.flags.json ? JSON.stringify(answer.value) : `${id}: task ${String(index)} is settled as ${as}`,
    );
    return exitCodes.success;
};

const explain: Command = async context => {
    const id = requireId(context);
    if (id === undefined) {
        return exitCodes.usage;
    }
    const answer = await context.client.call<{ lines: string[]; }>("GET", `/operator/jobs/${id}/explain`);
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    context.print(context.flags.json ? JSON.stringify(answer.value) : answer.value.lines.join("\n"));
    return exitCodes.success;
};

/** Commands on jobs. */
export const jobCommands: Record<string, Command> = { submit, status, cancel, watch, resolve, explain };
