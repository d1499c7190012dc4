#!/usr/bin/env bash
# Kills one machine after another while a route is split among three services. TROUBLE=0 kills none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/clementineweir ] && [ -x target/review-rig ] || exit 2
exec target/review-rig -root . -record review/9/record.txt split
