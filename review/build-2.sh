#!/usr/bin/env bash
# Builds the stand-ins of this review: they are plain modules without dependencies, so there is
# nothing to compile and only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs [4-6]/*.mjs; do
  if [ -e "$module" ]; then node --check "$module"; fi
done
