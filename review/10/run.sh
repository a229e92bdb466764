#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_RECORD="review/10/record.txt" REVIEW_ROOT="$PWD" node target/review-2/case-10.mjs
