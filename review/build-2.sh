#!/bin/sh
# Checks the stand-ins of the second review's scripts. They are plain Node.js modules without dependencies, so that nothing has
# to be compiled.
set -e
cd "$(dirname "$0")"
for module in lib-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs
do
  if [ -f "$module" ]; then node --check "$module"; fi
done
