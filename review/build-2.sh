#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers \
  -o target/review-2/cases review/standins-2/cases.cc review/standins-2/world.cc
