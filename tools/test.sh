#!/usr/bin/env bash
# Runs all tests. Those listed in KNOWN-RED.txt (one line each: test, cause, issue) are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=()
if [ -f KNOWN-RED.txt ]; then
  known=$(grep -v '^#' KNOWN-RED.txt | grep -v '^ *$' || true)
  if [ -n "$known" ]; then
    if [ "$(wc -l <<<"$known")" -gt 3 ]; then
      echo "KNOWN-RED.txt lists more than three tests"
      exit 1
    fi
    printf 'known to fail, passed over:\n%s\n' "$known"
    names=$(cut -d, -f1 <<<"$known" | sed 's/ *$//' | paste -sd'|')
    skip=(-skip "^(${names})\$")
  fi
fi
go test -timeout 20m "${skip[@]}" "$@" ./...
