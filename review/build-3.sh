#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/12 to review/15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-3 ./review/_stand-3
