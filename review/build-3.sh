#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review 3 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-3 "$source" \
    -o "target/review-3/case-$number" -lboost_json
done
