#!/bin/sh
# Builds what the scripts of review cases 11 to 15 start beside target/buckthorndeck. Their stand-ins
# (review/standins-3) are Python of the standard library, so that there is nothing to compile.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import ast, sys; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' \
  review/standins-3/*.py review/1[1-5]/*.py
test -x target/buckthorndeck
