#!/bin/bash
# Builds sumac of another commit and prints the program's path, for
#   bin/harness upgrade --from "$(tools/old-sumac.sh COMMIT)"
# The commit is checked out with git worktree in FOLDER, the second argument or a new temporary
# folder; remove both with
#   git worktree remove --force FOLDER/source && rm -r FOLDER
set -euo pipefail
commit=${1:?the commit to build}
folder=${2:-$(mktemp -d)}
cd "$(dirname "$0")/.."
git worktree add --quiet --detach "$folder/source" "$commit"
(cd "$folder/source" && go build -o "$folder/sumac" ./cmd/sumac)
echo "$folder/sumac"
