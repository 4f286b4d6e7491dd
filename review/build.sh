#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. They use the standard library
# alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/standin ./review/platform/standin
