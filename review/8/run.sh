#!/usr/bin/env bash
# Kills all instances while the store is away for a moment and comes back from a copy that is 5 s old. TROUBLE=0 leaves both out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/clementineweir ] && [ -x target/review-rig ] || exit 2
exec target/review-rig -root . -record review/8/record.txt returned
