#!/usr/bin/env bash
# Plays case 1: tenants use up their prepaid tokens while answers of the platform's store are lost. TROUBLE=0 loses none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review lost-return review/1/record.txt
