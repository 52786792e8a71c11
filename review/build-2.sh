#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs Go alone, and no network. Run the
# build of deploy/system.toml before it.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOPROXY=off go build -o ../../target/review-2/review2 .
