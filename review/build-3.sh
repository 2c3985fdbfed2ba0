#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Run it in the repository's root.
set -eu
mkdir -p target/review-3
go build -o target/review-3/rig ./review/rig-3/*.go
