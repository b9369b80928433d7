#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -Ireview/standins-3 "$source" \
        -o "target/review-3/$(basename "$source" .cpp)" &
done
failed=0
for job in $(jobs -p); do
    wait "$job" || failed=1
done
exit $failed
