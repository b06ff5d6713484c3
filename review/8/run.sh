#!/usr/bin/env bash
# Plays this case. Needs the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hornbeamtray ] && [ -x target/review-2/stand-2 ] || { echo "build first" >&2; exit 2; }
exec target/review-2/stand-2 late "$PWD" "$PWD/review/8"
