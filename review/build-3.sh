#!/bin/sh
# Builds what the cases 11 to 15 start besides the daemon; run it in the repository root after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
node review/lib-3/build.mjs
