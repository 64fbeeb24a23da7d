#!/usr/bin/env bash
# Builds the stand-ins and clients of the third review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3 ./review/cases-3
