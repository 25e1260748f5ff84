#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../kit-2/run-case.sh" 8 "$here"
