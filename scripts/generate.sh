#!/usr/bin/env bash
# Generates the Go code in wire/primroseloomv1 from the schema in wire/proto.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools/generate && GOWORK=off go build -o "$bin/" \
  github.com/bufbuild/buf/cmd/buf \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  connectrpc.com/connect/cmd/protoc-gen-connect-go)
cd wire
PATH="$bin:$PATH" buf generate
