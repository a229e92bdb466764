import meow from "meow";
import pino from "pino";

import { loadSettings } from "./load-settings.js";
import { runHost } from "./run-host.js";
import { stopOnSignal } from "./util/stop-on-signal.js";

const invalidSettingsExitCode = 2;

const command = meow(
    `
    Usage
      $ jayfrontd --config FILE

    Options
      --config FILE  settings of this entry host, TOML
      --check        check the settings and exit

    Examples
      $ jayfrontd --config /etc/jayfront/host.toml
      $ jayfrontd --config host.toml --check
`,
    {
        importMeta: import.meta,
        flags: {
            config: { type: "string", isRequired: true },
            check: { type: "boolean", default: false },
        },
    },
);

const settings = await loadSettings(command.flags.config);
if (settings.isErr) {
    process.stderr.write(`${settings.error}\n`);
    process.exit(invalidSettingsExitCode);
}
if (command.flags.check) {
    process.stdout.write(`${command.flags.config}: the settings are valid\n`);
    process.exit(0);
}

const { host, log } = settings.value;
const logger = pino({ level: log.level, base: { host: host.id, failureDomain: host.failureDomain } });
const running = await runHost(settings.value, logger);
stopOnSignal({ logger, stop: running.stop });
