#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/primroseloomd ] && [ -x target/review/standins-2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
timeout --foreground -k 5 118 target/review/standins-2 feed review/6/record.txt
result=$?
[ "$result" -le 2 ] || result=2 # it was ended before it had judged
exit "$result"
