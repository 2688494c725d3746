#!/usr/bin/env bash
# The stand-ins of review/kit-3 are plain modules that Node.js runs as they are; this
# only checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for file in kit-3/*.mjs; do node --check "$file"; done
