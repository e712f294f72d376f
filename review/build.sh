#!/usr/bin/env bash
# The stand-ins of the scripts are review/lib/standins.py, which needs Python 3.11 or later and its
# standard library alone; nothing is compiled. This checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert (3, 11) <= sys.version_info, "Python 3.11 or later is needed"'
for file in lib/standins.py */case.py trials/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONPATH=lib python3 -B -c 'import standins'
