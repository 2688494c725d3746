#!/bin/sh
# The stand-ins of cases 6 to 10 are plain JavaScript in review/kit-2; nothing of them
# is compiled. Checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in kit-2/*.mjs beside-2/*.mjs [6-9]/case.mjs 10/case.mjs; do
	node --check "$file"
done
