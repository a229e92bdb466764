// Bundles the scripts of the cases 11 to 15, with the stand-ins that they start, into target/review-3/.
import { build } from "esbuild";
import { existsSync, readdirSync } from "node:fs";

const cases = readdirSync("review").filter(name => existsSync(`review/${name}/case.ts`) && Number(name) > 10);

await build({
    entryPoints: cases.map(name => ({ in: `review/${name}/case.ts`, out: name })),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outdir: "target/review-3",
    outExtension: { ".js": ".cjs" },
    alias: Object.fromEntries(
        readdirSync("packages").map(name => [`@jayfront/${name}`, `./packages/${name}/src/index.ts`]),
    ),
    logLevel: "warning",
});
