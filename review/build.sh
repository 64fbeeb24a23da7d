#!/usr/bin/env bash
# Builds the stand-ins and the players of the cases.
set -eu
cd "$(dirname "$0")/tools"
mkdir -p ../../target
go build -o ../../target/review .
