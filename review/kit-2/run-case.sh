#!/usr/bin/env bash
# Runs the case that is named first; the folder named second gets record.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
folder=$(cd "$2" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/review-2/case ] || [ ! -x target/gentianpond ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
CASE=$1 RECORD=$folder/record.txt exec target/review-2/case
