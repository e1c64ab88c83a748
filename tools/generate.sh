#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs protoc on the PATH; protoc-gen-go comes from go.mod's tool list.
set -euo pipefail
cd "$(dirname "$0")/.."
plugin=$(go tool -n protoc-gen-go)
protoc --plugin="protoc-gen-go=$plugin" --go_out=. --go_opt=module=balsamsail \
  $(git ls-files --cached --others --exclude-standard 'internal/*.proto' | sort)
