#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
go build -o ../../target/review-standins .
