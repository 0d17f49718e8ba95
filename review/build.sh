#!/usr/bin/env bash
# The stand-ins of the scripts are in review/lib and use the standard library
# only: there is nothing to compile, this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
