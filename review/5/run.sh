#!/usr/bin/env bash
# Shows the case on loopback addresses, after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/agateturnd ] && [ -x review/bin/standin ] || { echo "build the deploy file's program and run review/build.sh first"; exit 2; }
exec review/bin/standin overdue review/5
