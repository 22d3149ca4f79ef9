#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS="${GOFLAGS:-} -buildvcs=false -mod=mod" GOWORK=off GOTOOLCHAIN=local go build -o bin/ ./standin
