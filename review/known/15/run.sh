#!/usr/bin/env bash
# Plays KNOWN-RED 15, no case of this review: exits with 1 if the rule was broken, 0 if it held, 2 if
# it couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review/harness ] && [ -x target/primroseloomd ] || exit 2
exec target/review/harness routes review/known/15
