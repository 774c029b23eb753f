#!/bin/sh
# Builds the programs of the cases, each with its stand-ins, to target/review-3; to be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5]; do
	if [ -f "$folder/case.mjs" ]; then
		node_modules/.bin/esbuild "$folder/case.mjs" --bundle --platform=node --format=esm --target=node20 --log-level=warning --outfile="target/review-3/${folder##*/}.mjs"
	fi
done
