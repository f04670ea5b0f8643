#!/usr/bin/env bash
# Builds the stand-ins of the review scripts into review/out/. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
for source in review/common/*.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -I. "$source" -o "review/out/$(basename "$source" .cpp)" -pthread
done
