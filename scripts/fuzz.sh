#!/usr/bin/env bash
# Runs every fuzz target for a fixed number of executions, so that the result does not
# depend on the speed of the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
executions=${EXECUTIONS:-2000x}
mapfile -t files < <(grep -rl --include='*_test.go' '^func Fuzz' . | sort)
for file in "${files[@]}"; do
  dir=$(dirname "$file")
  mapfile -t targets < <(sed -n 's/^func \(Fuzz[A-Za-z0-9_]*\).*/\1/p' "$file")
  for target in "${targets[@]}"; do
    go test -run '^$' -fuzz "^${target}\$" -fuzztime "$executions" "$dir"
  done
done
