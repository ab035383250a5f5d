#!/usr/bin/env bash
# The scripts of review/6 to review/10 start stand-ins in plain JavaScript, which need no build beside that of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/bergamotgauge.cjs || node scripts/build-target.js
for file in review/6/*.js review/7/*.js review/8/*.js review/9/*.js review/10/*.js; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
