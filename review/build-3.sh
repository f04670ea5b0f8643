#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into review/out/. They need g++ and the C++ library only. The daemons
# themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
for folder in review/1[1-5]; do
  [ -e "$folder/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "$folder/case.cpp" -o "review/out/case-$(basename "$folder")"
done
