import type { Command, CommandContext } from "./command-context.js";
import { exitCodes } from "./command-context.js";
import { hostCommands, topCommand, workerCommands } from "./commands/cluster-commands.js";
import { environmentCommands } from "./commands/environment-commands.js";
import { jobCommands } from "./commands/job-commands.js";

/** Commands by subject and verb, such as `job` and `status`. */
const subjects: Record<string, Record<string, Command>> = {
    environment: environmentCommands,
    job: jobCommands,
    worker: workerCommands,
    host: hostCommands,
};

/** Runs the command that `positionals` name and returns its exit code. */
export const runCommand = async (
    positionals: readonly string[],
    context: Omit<CommandContext, "positionals">,
): Promise<number> => {
    const [subject = "", verb = "", ...rest] = positionals;
    if (subject === "top") {
        return topCommand({ ...context, positionals: positionals.slice(1) });
    }
    const verbs = Object.hasOwn(subjects, subject) ? subjects[subject] : undefined;
    if (verbs === undefined) {
        context.printError(
            `"${subject}" is not a command; expected one of ${[...Object.keys(subjects), "top"].join(", ")}`,
        );
        return exitCodes.usage;
    }
    const command = Object.hasOwn(verbs, verb) ? verbs[verb] : undefined;
    if (command === undefined) {
        context.printError(
            `"${subject} ${verb}" is not a command; after ${subject}, expected one of ${Object.keys(verbs).join(", ")}`,
        );
        return exitCodes.usage;
    }
    return command({ ...context, positionals: rest });
};
