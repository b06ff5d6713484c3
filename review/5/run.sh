#!/usr/bin/env bash
# Runs the case of this folder. Needs the build of the deploy file and review/build.sh.
# TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hornbeamtray ] && [ -x review/bin/stand ] || { echo "build first" >&2; exit 2; }
exec review/bin/stand watch review/5
