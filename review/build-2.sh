#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into review/bin.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/ ./cmd/agateturn-standin
(cd review/6/cutproxy && go build -o ../../bin/cutproxy .)
