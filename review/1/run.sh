#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
number=$(basename "$(dirname "$(readlink -f "$0")")")
program=target/gentianpond stand=target/review/case-$number
if [ ! -x "$program" ] || [ ! -x "$stand" ]; then
	echo "run the build command of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
PROGRAM="$PWD/$program" RECORD="$PWD/review/$number/record.txt" exec "$stand"
