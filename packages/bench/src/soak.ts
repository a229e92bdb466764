import meow from "meow";

import { runSoak } from "./soak/run-soak.js";

const command = meow(
    `
    Usage
      $ npm run soak [-- --from N --seeds N --seconds N --hosts N --workers N --logs FOLDER]

    Runs real entry hosts as processes on loopback under random external faults, one fleet for each seed, and checks
    what workers did and which answers submitters got. Exits with 1 on a broken promise or an unexpected exit of a
    host.

    Options
      --from N      first seed, default 0
      --seeds N     default 1
      --seconds N   duration of the faults, default 30; some 30 s without faults follow
      --hosts N     in each of three failure domains, default 2
      --workers N   in each failure domain, default 3
      --logs FOLDER keeps the hosts' logs in this folder
`,
    {
        importMeta: import.meta,
        flags: {
            from: { type: "number", default: 0 },
            seeds: { type: "number", default: 1 },
            seconds: { type: "number", default: 30 },
            hosts: { type: "number", default: 2 },
            workers: { type: "number", default: 3 },
            logs: { type: "string" },
        },
    },
);
const { from, seeds, seconds, hosts, workers, logs } = command.flags;
let failed = 0;
for (let seed = from; seed < from + seeds; seed += 1) {
    const keepLogsIn = logs === undefined ? {} : { keepLogsIn: `${logs}/${String(seed)}` };
    const { accepted, broken, unexpectedExits, faults } = await runSoak({
        seed,
        seconds,
        hostsPerDomain: hosts,
        workersPerDomain: workers,
        ...keepLogsIn,
    });
    const findings = [...broken.map(({ promise, detail }) => `${promise}: ${detail}`), ...unexpectedExits];
    failed += findings.length > 0 ? 1 : 0;
    process.stdout.write(`seed ${String(seed)}: ${String(accepted)} accepted, ${String(faults.length)} faults\n`);
    if (findings.length > 0) {
        process.stdout.write([...findings, ...faults].map(line => `  ${line}\n`).join(""));
    }
}
process.stdout.write(`${String(seeds)} soaks from seed ${String(from)}: ${String(failed)} with a finding\n`);
process.exit(failed === 0 ? 0 : 1);
