#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -trimpath -tags review -o target/review-2/case ./review/kit-2
