#!/bin/sh
# The stand-ins and drivers of the scripted cases are plain Node.js modules without dependencies: there is nothing to
# compile. Checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]/case.mjs; do
  node --check "$file" || exit 1
done
