#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and review/14. Run it after
# the build line of deploy/system.toml; it needs no network.
set -eu
cd "$(dirname "$0")/.."
# The project's own stand-in of the store runs with the deployment's libraries.
PYTHONPATH=target/deps:src:. python3 -c 'import standins.store'
for folder in review/harness review/11 review/14; do
    python3 -m compileall -q "$folder"
done
