#!/usr/bin/env bash
# Installs every Debian package that building, testing and the demonstration need. CI and README call it.
set -euo pipefail
packages=(
  build-essential cmake ninja-build pkg-config ccache
  clang-format clang-tidy
  libev-dev libcereal-dev libboost-dev libcurl4-openssl-dev libmicrohttpd-dev
  nlohmann-json3-dev libvalijson-dev libdocopt-dev libspdlog-dev libfmt-dev
  libxxhash-dev libsodium-dev zlib1g-dev
  librapidcheck-dev libgtest-dev spin
  curl jq procps
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
echo "Installing: ${missing[*]}"
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
