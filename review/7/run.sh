#!/usr/bin/env bash
# Takes all machines away at one moment, without SIGTERM, and adds as many others. TROUBLE=0 leaves this out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/clementineweir ] && [ -x target/review-rig ] || exit 2
exec target/review-rig -root . -record review/7/record.txt replaced
