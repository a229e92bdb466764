import type { DocumentMistake, Environment } from "@jayfront/world";
import { environmentDocument, parseTomlDocument } from "@jayfront/world";

import type { Command, CommandContext } from "../command-context.js";
import { exitCodes, reportError } from "../command-context.js";
import { formatTable } from "../util/format-table.js";
import { readTextFile } from "../util/read-text-file.js";

const printMistakes = (
    { printError, print, flags }: CommandContext,
    file: string,
    mistakes: readonly DocumentMistake[],
): number => {
    if (flags.json) {
        print(JSON.stringify({ file, mistakes }));
    }
    else {
        for (const mistake of mistakes) {
            printError(`${file}:${String(mistake.line ?? 1)}: ${mistake.key || "document"}: ${mistake.message}`);
        }
    }
    return exitCodes.usage;
};

const check: Command = async context => {
    const [file = ""] = context.positionals;
    const text = await readTextFile(context.positionals[0]);
    if (text.isErr) {
        context.printError(text.error);
        return exitCodes.usage;
    }
    const parsed = parseTomlDocument(text.value, environmentDocument);
    if (parsed.isErr) {
        return printMistakes(context, file, parsed.error);
    }
    context.print(context.flags.json ? JSON.stringify({ file, valid: true }) : `${file}: the document is valid`);
    return exitCodes.success;
};

/** Version of the named environment; 0 where it can't be read. */
const readVersion = async ({ client }: CommandContext, name: string): Promise<number> => {
    const current = await client.call<Environment>("GET", `/operator/environments/${name}`);
    return current.isOk ? current.value.version : 0;
};

const trial: Command = async context => {
    const { client, flags, print } = context;
    const [file = ""] = context.positionals;
    const text = await readTextFile(context.positionals[0]);
    if (text.isErr) {
        context.printError(text.error);
        return exitCodes.usage;
    }
    const parsed = parseTomlDocument(text.value, environmentDocument);
    if (parsed.isErr) {
        return printMistakes(context, file, parsed.error);
    }
    const base = flags.base ?? await readVersion(context, "trial");
    const stored = await client.call<{ version: number; findings: string[]; }>(
        "PUT",
        "/operator/environments/trial",
        { text: text.value, base },
    );
    if (stored.isErr) {
        return reportError(context, stored.error);
    }
    if (flags.json) {
        print(JSON.stringify(stored.value));
    }
    else {
        print(`trial holds version ${String(stored.value.version)}`);
        stored.value.findings.forEach(finding => {
            print(`  finding: ${finding}`);
        });
        print("`jayfront environment promote` puts it in force in production");
    }
    return exitCodes.success;
};

const promote: Command = async context => {
    const { client, flags, print } = context;
    const base = flags.base ?? await readVersion(context, flags.environment);
    const promoted = await client.call<{ version: number; }>(
        "POST",
        `/operator/environments/${flags.environment}/promote`,
        { from: "trial", base },
    );
    if (promoted.isErr) {
        return reportError(context, promoted.error);
    }
    print(
        flags.json
            ? JSON.stringify(promoted.value)
            : `${flags.environment} holds version ${String(promoted.value.version)}`,
    );
    return exitCodes.success;
};

const show: Command = async context => {
    const { client, flags, print } = context;
    const environment = await client.call<Environment>(
        "GET",
        `/operator/environments/${context.positionals[0] ?? flags.environment}`,
    );
    if (environment.isErr) {
        return reportError(context, environment.error);
    }
    print(
        flags.json
            ? JSON.stringify(environment.value)
            : `# version ${String(environment.value.version)}\n${environment.value.text}`,
    );
    return exitCodes.success;
};

const history: Command = async context => {
    const { client, flags, print } = context;
    const answer = await client.call<Environment[]>("GET", `/operator/environments/${flags.environment}/history`);
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    if (flags.json) {
        print(JSON.stringify(answer.value));
        return exitCodes.success;
    }
    print(formatTable(
        ["VERSION", "SERVICES", "TEAMS"],
        answer.value.map(({ version, document }) => [
            version,
            Object.keys(document.services).length,
            Object.keys(document.teams).length,
        ]),
    ));
    return exitCodes.success;
};

/** Lines that only one of two texts contains. */
const diffLines = (left: string, right: string): readonly string[] => {
    const leftLines = left.split("\n");
    const rightLines = right.split("\n");
    return [
        ...leftLines.filter(line => !rightLines.includes(line)).map(line => `- ${line}`),
        ...rightLines.filter(line => !leftLines.includes(line)).map(line => `+ ${line}`),
    ];
};

const diff: Command = async context => {
    const { client, flags, print } = context;
    const [current, next] = await Promise.all([
        client.call<Environment>("GET", `/operator/environments/${flags.environment}`),
        client.call<Environment>("GET", "/operator/environments/trial"),
    ]);
    if (next.isErr) {
        return reportError(context, next.error);
    }
    const lines = diffLines(current.isOk ? current.value.text : "", next.value.text);
    print(flags.json ? JSON.stringify({ lines }) : lines.join("\n") || "trial and production are the same");
    return exitCodes.success;
};

interface HostView {
    readonly host: string;
    readonly failureDomain: string;
    readonly isReady: boolean;
    readonly environmentVersion: number;
    readonly confirmedAge?: number;
}

const status: Command = async context => {
    const { client, flags, print } = context;
    const answer = await client.call<{ hosts: HostView[]; silent: string[]; }>("GET", "/operator/hosts");
    if (answer.isErr) {
        return reportError(context, answer.error);
    }
    const { hosts, silent } = answer.value;
    if (flags.json) {
        print(JSON.stringify(answer.value));
        return exitCodes.success;
    }
    print(formatTable(
        ["DOMAIN", "HOST", "VERSION", "CONFIRMED"],
        hosts.map(host => [
            host.failureDomain,
            host.host,
            host.environmentVersion,
            host.confirmedAge === undefined ? "never" : `${(host.confirmedAge / 1_000).toFixed(1)} s ago`,
        ]),
    ));
    silent.forEach(host => {
        print(`${host}: gave no answer; its failure domain may be cut off`);
    });
    return exitCodes.success;
};

/** Commands on environment documents. */
export const environmentCommands: Record<string, Command> = { check, trial, promote, show, history, diff, status };
