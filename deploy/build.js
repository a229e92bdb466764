// Bundles the daemon for the platform into target/, from sources alone.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, readdirSync, readFileSync } from "node:fs";

const packages = readdirSync("packages").filter(name => name !== "bench" && name !== "platform-stand-in");

await build({
    entryPoints: ["platform/src/run-daemon.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: "none",
    outfile: "target/bundle.cjs",
    alias: Object.fromEntries(packages.map(name => [`@jayfront/${name}`, `./packages/${name}/src/index.ts`])),
    logLevel: "warning",
});
copyFileSync("deploy/jayfrontd.cjs", "target/jayfrontd.cjs");

// The runtime accepts bytecode only of a process with the same options.
const [, options = ""] = /^run = "node (.*)target\/jayfrontd\.cjs/m.exec(readFileSync("deploy/system.toml", "utf8"))
    ?? [];
execFileSync(process.execPath, [...options.split(" ").filter(Boolean), "target/jayfrontd.cjs", "--compile"], {
    stdio: "inherit",
});
