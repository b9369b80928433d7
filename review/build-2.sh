#!/usr/bin/env bash
# Builds the stand-ins of the second review, which the scripts of the cases 6 to 10 start. Run after the build of
# deploy/system.toml; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case_*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/${name#case_}" &
done
wait
