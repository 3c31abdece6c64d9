#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/scenario.cpp; do
  name=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -I review/harness-2 "$source" \
    -o "target/review-2/case-$name" -pthread &
done
failed=0
for job in $(jobs -p); do
  wait "$job" || failed=1
done
exit $failed
