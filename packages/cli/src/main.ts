import meow from "meow";

import { createApiClient } from "./api-client.js";
import { exitCodes } from "./command-context.js";
import { runCommand } from "./run-command.js";

const command = meow(
    `
    Usage
      $ jayfront <command> [options]

    Commands
      environment check FILE     check a document; needs no host
      environment trial FILE     store a document in the trial environment and test it
      environment promote        activate the trial document
      environment show [NAME]    print a document
      environment diff           print the lines that promote would change
      environment history        list the latest versions
      environment status         list which hosts have confirmed which version
      job submit FILE            submit a job (JSON) and print its id
      job status|cancel|watch ID
      job explain ID             explain why a job's tasks wait or run
      job resolve ID --index N --as finished|failed|run-again
      worker list
      host list
      top                        show cells and queues, updated continuously

    Options
      --host URL          any entry host; default $JAYFRONT_HOST or http://127.0.0.1:18001
      --token TOKEN       operator token; default $JAYFRONT_TOKEN
      --environment NAME  default production
      --base VERSION      version on which the change is based; default the active one
      --json              print JSON, one value per line
      --once              top: print once and exit

    Exit codes
      0 success, 1 refused, 2 invalid command line or file, 3 no answer from the host,
      4 another operator changed the document in the meantime

    Examples
      $ jayfront environment trial examples/granite-vale/environment.toml
      $ jayfront environment promote --base 3
      $ jayfront job submit examples/granite-vale/job-toolpaths.json
      $ jayfront job watch 2b7e1c2e-51f2-4a0c-9f55-0c5b3a1d7e10
      $ jayfront top --once
`,
    {
        importMeta: import.meta,
        flags: {
            host: { type: "string", default: process.env["JAYFRONT_HOST"] ?? "http://127.0.0.1:18001" },
            token: { type: "string" },
            environment: { type: "string", default: "production" },
            base: { type: "number" },
            key: { type: "string" },
            as: { type: "string" },
            index: { type: "number" },
            json: { type: "boolean", default: false },
            once: { type: "boolean", default: false },
        },
    },
);
if (command.input.length === 0) {
    command.showHelp(exitCodes.usage);
}
const { host, token, environment, base, key, as, index, json, once } = command.flags;
process.exitCode = await runCommand(command.input, {
    client: createApiClient({ url: host, token: token ?? process.env["JAYFRONT_TOKEN"] }),
    flags: { json, environment, base, key, as, index, once },
    print: line => {
        process.stdout.write(`${line}\n`);
    },
    printError: line => {
        process.stderr.write(`${line}\n`);
    },
    isTerminal: process.stdout.isTTY,
});
