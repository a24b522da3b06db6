#!/usr/bin/env bash
# Plays the case on the real clock. TROUBLE=0 plays it without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review/cases ] && [ -x target/primrosedaled ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review/cases relife "$here"
