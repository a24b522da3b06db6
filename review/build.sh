#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with all their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/cases review/_cases/platform/*.go
