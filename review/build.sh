#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The program under test is built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stage ./review/stage
