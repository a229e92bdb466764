#!/usr/bin/env bash
# Bundles the programs that the scripts of the cases 6 to 10 start, stand-ins included.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/{6,7,8,9,10}/case.ts; do
    if [ -f "$source" ]; then
        number=$(basename "$(dirname "$source")")
        node_modules/.bin/esbuild "$source" --bundle --platform=node --format=esm --log-level=warning \
            --outfile="target/review-2/case-$number.mjs"
    fi
done
