#!/usr/bin/env bash
# Installs the packages that runlink needs to build on a fresh Debian 12 machine.
set -euo pipefail

packages=(
    build-essential cmake ninja-build pkg-config python3 curl git
    qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libgl-dev libopengl-dev libvulkan-dev
    libzmq3-dev cppzmq-dev libprotobuf-dev libboost-dev libboost-log-dev
    libcli11-dev catch2 libxxhash-dev nlohmann-json3-dev
    clang-format clang-tidy
)
missing=()
for it in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' || missing+=("$it")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -q -y --no-install-recommends "${missing[@]}"
