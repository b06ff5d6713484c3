#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/stand-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/stand-2 .
