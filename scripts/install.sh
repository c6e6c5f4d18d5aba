#!/usr/bin/env bash
# Installs what building and testing need, by the package manager. Does nothing when all of it is here.
set -euo pipefail
packages=(build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libgl-dev libthrift-dev thrift-compiler prometheus-cpp-dev
  libboost-dev libboost-log-dev libboost-thread-dev libpopt-dev catch2 librapidcheck-dev libxxhash-dev spin curl)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing ${missing[*]}"
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -q
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
