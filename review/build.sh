#!/usr/bin/env bash
# Bundles the stand-ins and the scenarios of the review into target/review/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
for scenario in review/[0-9]/scenario.ts; do
    name=$(basename "$(dirname "$scenario")")
    node_modules/.bin/esbuild "$scenario" --bundle --platform=node --target=node20 --format=cjs \
        --log-level=warning --outfile="target/review/$name.cjs" \
        --alias:@jayfront/world=./packages/world/src/index.ts
done
