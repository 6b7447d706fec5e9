#!/bin/sh
# The stand-ins of cases 4 to 6 are plain Node.js modules in review/common-2 and need no build step.
# This script checks that they can be loaded and that the programs of the deploy file are there.
set -eu
cd "$(dirname "$0")/.."
for file in review/common-2/*.mjs; do node --check "$file"; done
for file in target/platform-gateway.cjs target/platform-store.cjs; do
  [ -f "$file" ] || { echo "$file is missing; run the build of deploy/system.toml first" >&2; exit 1; }
done
