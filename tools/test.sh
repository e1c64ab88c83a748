#!/usr/bin/env bash
# Runs all tests. Those listed in KNOWN-RED.txt (one line each: test, cause, issue, command, what was seen) are passed over and
# printed.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=()
if [ -f KNOWN-RED.txt ]; then
  known=$(grep -v '^#' KNOWN-RED.txt | grep -v '^ *$' || true)
  if [ -n "$known" ]; then
    if unexplained=$(grep -vE '^Test[^,]*,.*, issue [0-9]+, .*`' <<<"$known"); then
      printf 'entries of KNOWN-RED.txt without a test, an issue or a command:\n%s\n' "$unexplained"
      exit 1
    fi
    printf 'known to fail, passed over:\n%s\n' "$known"
    # A subtest is named by its path; each part must match whole.
    names=$(cut -d, -f1 <<<"$known" | sed 's/ *$//; s#/#$/^#g; s/^/^/; s/$/$/' | paste -sd'|')
    skip=(-skip "$names")
  fi
fi
# -count=1: a verdict from the cache says nothing of the machine that it is asked on.
run=(go test -count=1 -timeout 20m "${skip[@]}" "$@")

# The tests of these packages run many real processes against time limits. Each package has the machine to itself, and the others run
# on half of it at a time.
clusters=(balsamsail/soak balsamsail/test balsamsail/test/clients)
others=$(go list ./... | grep -vxF "$(printf '%s\n' "${clusters[@]}")")
status=0
"${run[@]}" -p "$((($(nproc) + 1) / 2))" $others || status=$?
"${run[@]}" -p 1 "${clusters[@]}" || status=$?
exit $status
