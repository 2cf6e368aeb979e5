#!/usr/bin/env bash
# Builds what the scripts of review/4, review/5 and review/6 start besides the controllers. Their
# stand-ins are plain modules for Node.js, so they are only checked here. The scripts start nothing
# of the project's own but target/mothbank.cjs, which the build line of deploy/service.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/[456]/*.mjs; do node --check "$file"; done
test -f target/mothbank.cjs || { echo 'run the build line of deploy/service.toml first' >&2; exit 1; }
