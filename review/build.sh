#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. Needs a compiler and the headers of nlohmann-json3-dev, both of
# which deploy/system.toml lists; the daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
build() {
  g++ -std=c++20 -O1 -Wall -Wextra -o "$2.new" "$1" -lpthread
  mv "$2.new" "$2"
}
build 1/case.cpp bin/case-1
build 1/refused.cpp bin/case-1-refused
build 3/case.cpp bin/case-3
