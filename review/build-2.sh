#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of the second review, for review/6 to review/10. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go_directory="$(.ci/setup)"
export PATH="$go_directory:$PATH"
go build -o target/review-2 ./review/_standins2
