#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into target/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
go build -o ../../target/review-3/standin-3 .
