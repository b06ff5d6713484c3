#!/usr/bin/env bash
# Regenerates the Go code of adapter/wire/agent.proto. Needs Debian's
# protobuf-compiler; builds the two plug-ins at the versions pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOWORK=off GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
cd adapter/wire
PATH="$bin:$PATH" protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. agent.proto
