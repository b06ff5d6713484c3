#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2. The sources
# end in .go.in, so that ./test, which checks all Go files of the repository, passes them over.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for source in review/stand-2/*.in; do
  cp "$source" "$folder/$(basename "$source" .in)"
done
mkdir -p target/review-2
out=$PWD/target/review-2/stand-2
(cd "$folder" && GOWORK=off GOFLAGS=-buildvcs=false go vet . && GOWORK=off GOFLAGS=-buildvcs=false go build -o "$out" .)
