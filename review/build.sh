#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node.js: there is nothing to build.
# Checks that they load, and that the programs of deploy/system.toml were built.
set -eu
cd "$(dirname "$0")"
for module in standins/*.mjs; do node --check "$module"; done
for case in [1-5]/case.mjs beside/*.mjs; do node --check "$case"; done
test -f ../target/bin/start.cjs
