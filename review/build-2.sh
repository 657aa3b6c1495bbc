#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review2 -o target/review-2 ./review/stand2
