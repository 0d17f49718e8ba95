#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Run it after the build
# line of deploy/system.toml; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
# The project's own stand-in of the store runs with the deployment's libraries.
PYTHONPATH=target/deps:src:. python3 -c 'import standins.store'
for folder in review/harness review/6 review/7 review/8; do
  python3 -m compileall -q "$folder"
done
