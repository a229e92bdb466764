#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for file in target/jayfrontd.cjs target/review-2/case-7.mjs; do
    [ -f "$file" ] || { echo "$file is missing; run the build of the deploy file and review/build-2.sh"; exit 2; }
done
REVIEW_RECORD="review/7/record.txt" REVIEW_ROOT="$PWD" exec node target/review-2/case-7.mjs
