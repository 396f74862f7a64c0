#!/usr/bin/env bash
# Installs what the project declares, where something is missing.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
mapfile -t packages < "$here/packages.txt"
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
