#!/usr/bin/env bash
# Builds the programs of the cases, stand-ins included, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done
