#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/N/ start. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p bin
for source in *.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/${source%.cpp}"
done
