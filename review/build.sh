#!/bin/sh
# Builds the stand-ins and callers of the scripts, with the Go toolchain alone, into target/review-stand.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../../target
go vet .
go build -o ../../target/review-stand .
