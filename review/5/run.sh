#!/usr/bin/env bash
# The store gives some hosts no response for 9 s. TROUBLE=0: it answers all.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=5 115 python3 play.py
