#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are plain JavaScript and use Node.js only,
# and none of the project's own stand-ins, so there is nothing to compile: each file is checked for syntax.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/11/standins.mjs review/1[1-5]/main.mjs; do
	node --check "$file"
done
