#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. The program under test is built by
# the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/; do
	if ls "$case"*_test.go >/dev/null 2>&1; then
		go test -c -tags review -o "target/review/case-$(basename "$case")" "./$case"
	fi
done
