#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-3/${folder##*/}.mjs
if [ ! -f "$program" ] || [ ! -f target/egretwing-gateway.cjs ]; then
	echo "build first: the build of the deploy file, then review/build-3.sh"
	exit 2
fi

node "$program" "$folder"
status=$?
case $status in
	0 | 1) exit $status ;;
	*) exit 2 ;;
esac
