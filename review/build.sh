#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins. It needs the Go toolchain only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS= GOWORK=off go build -buildvcs=false -o ../../target/review-runner .
