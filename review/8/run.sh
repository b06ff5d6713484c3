#!/usr/bin/env bash
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/stand-2 late "$PWD" "$PWD/review/8"
