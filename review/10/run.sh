#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azuredyked ] && [ -x target/review2 ] || { echo "not built" >&2; exit 2; }
exec target/review2 crashing review/10
