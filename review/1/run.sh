#!/usr/bin/env bash
# The store forgets its history under a large configuration. TROUBLE=0: it keeps it.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=5 115 python3 play.py
