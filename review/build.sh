#!/bin/bash
# The stand-ins of the cases are plain .mjs files, started by the scripts as they are: nothing is
# compiled. This checks that they can be parsed and that the deployed programs are built.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
for role in entry control store; do test -f "target/shedline-$role.cjs"; done
