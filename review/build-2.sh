#!/usr/bin/env bash
# The scripts of cases 6 to 10 use stand-ins of their own in review/lib-2, which need no build; checks that they parse.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
