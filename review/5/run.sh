#!/usr/bin/env bash
# Plays the case stop on loopback addresses: a store, six runners and three instances, about 15 s.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Needs target/ as the build of deploy/system.toml and review/build.sh leave it.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/clementineweir ] || [ ! -x target/review-driver ]; then
  echo "build first: the build line of deploy/system.toml, and review/build.sh"
  exit 2
fi
exec target/review-driver stop review/5/record.txt
