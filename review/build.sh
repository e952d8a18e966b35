#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. Needs a compiler and the headers of nlohmann-json3-dev, both of
# which deploy/system.toml lists; the daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]/case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/case-${source%%/*}" "$source" -lpthread
done
