#!/usr/bin/env bash
# Runs the measurements behind docs/CAPACITY.md: complete fleets without traffic,
# and how the cost of each role grows. Takes about ten minutes on an otherwise
# idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."

go run ./cmd/primroseloom capacity --instances 12,36,100 --duration 20s
go test -run xxx -bench 'TickAtDesignSize' ./entry/targets
go test -run xxx -bench 'ControlCost' -benchtime 1x -timeout 30m ./entry/peer
go test -run xxx -bench 'Load|ChangeOf' -benchtime 3x ./config/snapshot
go test -run xxx -bench 'Admit|FairQueue' ./policy/admission
go test -run xxx -bench 'NewSet|Moved|Connections' ./policy/subset
go test -run xxx -bench 'Lookup' ./entry/directory
go test -run xxx -bench 'Attempt' ./policy/health
go test -run xxx -bench 'Take|Lessor' ./policy/balance
go test -run xxx -bench 'Records|RecordMemory' -benchtime 20x ./policy/dispatch
go test -run xxx -bench 'Booking' -benchtime 20000x ./entry/proxy
