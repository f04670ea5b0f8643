#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/. The build line of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. "$source" -o "target/review-2/case-$number" -pthread
done
