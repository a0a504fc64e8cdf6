#!/usr/bin/env bash
# Builds what the scripts start beside the program of the deploy file. The stand-ins are plain Node.js modules
# under review/lib, which need no build step and no packages; their syntax is checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
