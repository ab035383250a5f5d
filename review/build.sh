#!/usr/bin/env bash
# The stand-ins under review/lib are plain modules for Node.js: nothing is compiled, this only checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.js review/*/run.js; do
	node --check "$file"
done
