#!/bin/sh
# The stand-ins of the review are Python programs, as are those of tools/soak that they use: nothing is built, only checked.
set -e
cd "$(dirname "$0")/.."
for source in review/standins/*.py review/[1-5]/*.py tools/soak/http1.py tools/soak/store.py tools/soak/targets.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
