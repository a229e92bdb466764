import { readFile } from "node:fs/promises";

import { parseTomlDocument } from "@jayfront/world";
import meow from "meow";

import { runPlatformServer } from "./run-platform-server.js";
import { standInSettings } from "./stand-in-settings.js";

const command = meow(
    `
    Usage
      $ platform-stand-in --config FILE

    Prints its address as one line of JSON and serves until it is stopped.

    Options
      --config FILE  workers and hidden behaviour, in TOML
      --port PORT    port of the platform's services; overrides the file

    Examples
      $ platform-stand-in --config examples/granite-vale/platform.toml
`,
    {
        importMeta: import.meta,
        flags: { config: { type: "string", isRequired: true }, port: { type: "number" } },
    },
);
const settings = parseTomlDocument(await readFile(command.flags.config, "utf8"), standInSettings);
if (settings.isErr) {
    for (const mistake of settings.error) {
        process.stderr.write(
            `${command.flags.config}:${String(mistake.line ?? 1)}: ${mistake.key}: ${mistake.message}\n`,
        );
    }
    process.exit(2);
}
const { port = settings.value.port } = command.flags;
const server = await runPlatformServer({ ...settings.value, port });
process.stdout.write(`${JSON.stringify({ address: server.address })}\n`);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
        void server.close().then(() => process.exit(0));
    });
}
