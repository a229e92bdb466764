import type { ApiClient, ApiError } from "./api-client.js";

/** Input and output of a command. */
export interface CommandContext {
    readonly client: ApiClient;
    /** Positional arguments after the subject and the verb, such as FILE in `environment check FILE`. */
    readonly positionals: readonly string[];
    readonly flags: CommandFlags;
    /** Writes a line to the standard output. */
    readonly print: (line: string) => void;
    /** Writes a line to the standard error output. */
    readonly printError: (line: string) => void;
    /** Whether the standard output is a terminal. */
    readonly isTerminal: boolean;
}

/** Values of the command-line flags. */
export interface CommandFlags {
    /** Print JSON, one value per line. */
    readonly json: boolean;
    /** Name of the environment. */
    readonly environment: string;
    /** Version on which a change is based; undefined for the current one. */
    readonly base: number | undefined;
    /** Accepted, but read by no command. */
    readonly key: string | undefined;
    /** Outcome that `job resolve` sets. */
    readonly as: string | undefined;
    /** Index of the task that `job resolve` settles. */
    readonly index: number | undefined;
    /** Print once and exit. */
    readonly once: boolean;
}

/** Exit codes of the command line. */
export const exitCodes = {
    success: 0,
    /** The host refused the call, or a watched job has failed or in-doubt tasks. */
    refused: 1,
    /** The command line or a file is invalid. */
    usage: 2,
    /** No entry host answered. */
    unreachable: 3,
    /** Another operator changed the document in the meantime. */
    conflict: 4,
} as const;

/** Runs one command and returns its exit code. */
export type Command = (context: CommandContext) => Promise<number>;

/** Prints why a call failed and returns the exit code for it. */
export const reportError = ({ printError, flags, print }: CommandContext, error: ApiError): number => {
    if (flags.json) {
        print(JSON.stringify({ error: error.message, ...error.problem }));
    }
    else {
        printError(error.message);
    }
    if (error.kind === "unreachable") {
        return exitCodes.unreachable;
    }
    return error.problem["type"] === "urn:jayfront:conflict" ? exitCodes.conflict : exitCodes.refused;
};
