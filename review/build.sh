#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the programs of the deploy file.
# They use the standard library only, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-stand .
