#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standins-2 ./review/standins-2/*.go
