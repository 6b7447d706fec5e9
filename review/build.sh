#!/bin/sh
# The stand-ins are plain JavaScript for Node.js 20: there is nothing to compile, only to check.
set -eu
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
