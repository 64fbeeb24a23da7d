#!/usr/bin/env bash
# Plays the case. Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/citronslip ] || [ ! -x target/review-standins ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec target/review-standins gone review/10/record.txt
