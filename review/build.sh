#!/usr/bin/env bash
# The stand-ins are plain JavaScript that Node.js runs as it is; this only checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
