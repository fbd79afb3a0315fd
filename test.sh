#!/bin/bash
# The project's test command: build, formatter and linters, race tests with a fixed set of seeds,
# and one bounded run of real processes.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/ ./cmd/...
# The users' build, word for word; every program that they run comes out of it.
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
test -n "$build"
rm -rf target
bash -euo pipefail -c "$build"
sed -n 's/^run = "\([^" ]*\).*/\1/p' deploy/system.toml | while read -r program; do test -x "$program"; done
go vet ./...
go tool staticcheck ./...
test -z "$(gofmt -l $(git ls-files '*.go' | grep -v '^internal/api/'))"
go test -race -count=1 -timeout 30m ./...
go test -count=1 -timeout 20m ./internal/simulator -run TestSeeds -seeds 2:4
./bin/harness smoke
