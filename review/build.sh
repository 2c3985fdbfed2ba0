#!/usr/bin/env bash
# Builds the program that plays the scripts of the review, with all its stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/harness/*.go
