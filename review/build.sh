#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. The sources end in
# .go.in, so that ./test, which formats and checks all Go files of the repository, passes them over.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for source in stand/*.go.in; do
  name=$(basename "$source" .in)
  cp "$source" "$folder/$name"
done
printf 'module stand\n\ngo 1.26\n' > "$folder/go.mod"
mkdir -p bin
out=$PWD/bin/stand
(cd "$folder" && GOWORK=off GOFLAGS=-buildvcs=false go build -o "$out" .)
