#!/bin/sh
# The stand-ins of the cases are plain ECMAScript modules without dependencies: checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in *.mjs */case.mjs; do
	node --check "$file"
done
