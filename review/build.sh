#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the Go toolchain and the modules of go.mod, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-driver ./review/testdata/driver
go build -o target/review-purse ./review/testdata/purse
