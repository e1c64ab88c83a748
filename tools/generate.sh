#!/usr/bin/env bash
# Regenerates the committed protobuf code. The generators come from go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./tools/genproto "$(go tool -n protoc-gen-go)" \
  $(git ls-files --cached --others --exclude-standard 'internal/*.proto' | sort)
