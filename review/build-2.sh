#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library
# only, and are a part of the module in this folder.
set -euo pipefail
cd "$(dirname "$0")"
GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o ../target/review-standin-2 ./standin2
