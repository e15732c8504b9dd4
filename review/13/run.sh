#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azuredyked ] && [ -x target/standin3 ] || exit 2
exec target/standin3 late-deadly-part review/13/record.txt
