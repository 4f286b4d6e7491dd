#!/bin/sh
# Builds the stand-in that the scripts of cases 6 and up start, into review/bin.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/fleet2 ./review/platform/fleet2
