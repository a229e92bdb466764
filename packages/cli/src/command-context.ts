import type { ApiClient, ApiError } from "./api-client.js";

/** What a command gets to work with. */
export interface CommandContext {
    readonly client: ApiClient;
    /** Words after the command's own. */
    readonly positionals: readonly string[];
    readonly flags: CommandFlags;
    /** Writes a line to the standard output. */
    readonly print: (line: string) => void;
    /** Writes a line to the standard error output. */
    readonly printError: (line: string) => void;
    readonly isTerminal: boolean;
}

/** Flags that commands read. */
export interface CommandFlags {
    readonly json: boolean;
    readonly environment: string;
    readonly base: number | undefined;
    readonly key: string | undefined;
    readonly as: string | undefined;
    readonly index: number | undefined;
    readonly once: boolean;
}

/** Exit codes of the command. */
export const exitCodes = {
    success: 0,
    /** The host refused, or what was asked for did not come about. */
    refused: 1,
    /** The command line or a file is wrong. */
    usage: 2,
    /** No entry host answered. */
    unreachable: 3,
    /** Another operator was first. */
    conflict: 4,
} as const;

/** Runs one command and answers its exit code. */
export type Command = (context: CommandContext) => Promise<number>;

/** Prints why a call failed and answers the exit code for it. */
export const reportError = ({ printError: complain, flags, print }: CommandContext, error: ApiError): number => {
    if (flags.json) {
        print(JSON.stringify({ error: error.message, ...error.problem }));
    }
    else {
        complain(error.message);
    }
    if (error.kind === "unreachable") {
        return exitCodes.unreachable;
    }
    return error.problem["type"] === "urn:jayfront:conflict" ? exitCodes.conflict : exitCodes.refused;
};
