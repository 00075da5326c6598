#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o ../../target/review-stand-2 .
