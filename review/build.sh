#!/usr/bin/env bash
# Prepares the stand-ins of the scripts: they are Python, so that it only checks that they can be read here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/standins.py */play.py <<'EOF'
import sys
if sys.version_info < (3, 9):
    sys.exit("review/build.sh: needs Python 3.9 or newer")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
EOF
test -x ../target/buckthorndeck || { echo "review/build.sh: build the deploy file first" >&2; exit 1; }
