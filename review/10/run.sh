#!/usr/bin/env bash
# Cuts all machines off from the store and from each other; after the cut, runners leave whose entries are removed. TROUBLE=0 leaves out the cuts.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/clementineweir ] && [ -x target/review-rig ] || exit 2
exec target/review-rig -root . -record review/10/record.txt gone
