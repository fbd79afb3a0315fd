#!/bin/bash
# The project's test command: build, formatter and linters, race tests with a fixed set of seeds,
# and two bounded runs of real processes.
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
# What is known to fail for a fault that is not mended yet: a line each. They are
# printed in each run. A test is passed over until it is taken off the list; a soak that stands
# there is one run by hand, and none of this command's.
known_red=
if [ -s KNOWN-RED.txt ]; then
  sed 's/^/known red: /' KNOWN-RED.txt
  test -z "$(grep -v '^Test[A-Za-z0-9_]*\(/[A-Za-z0-9_+-]*\)*: \|^soak ' KNOWN-RED.txt)"
  # One anchored pattern a test; the parts of a subtest's name are separate patterns.
  known_red=$(sed -n 's/^\(Test[A-Za-z0-9_/+-]*\): .*/\1/p' KNOWN-RED.txt | sed 's/+/[+]/g; s#/#$/^#g; s/^/^/; s/$/$/' | paste -sd'|')
fi
go test -race -count=1 -timeout 30m -skip "$known_red" ./...
go test -count=1 -timeout 20m ./internal/simulator -run TestSeeds -seeds 2:4
./bin/harness smoke
# Planned work in series on real processes; its seeds are kept.
./bin/harness soak --seeds 1:2 --seconds 15
# The same while core nodes stand still and are cut off from each other.
./bin/harness soak --seeds 3 --seconds 20 --core-faults
