#!/bin/sh
# Bundles the cases 6 to 10 with their stand-ins into target/; to be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
for number in 6 7 8 9 10; do
	node_modules/.bin/esbuild "review/$number/case.mjs" --bundle --platform=node --target=node20 --format=esm --log-level=warning --outfile="target/review-2-$number.mjs"
done
