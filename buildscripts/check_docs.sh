#!/usr/bin/env bash
# Checks that the settings page matches the program and that every example is valid.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release/src
if [ -f docs/SETTINGS.md ]; then
  diff <(sed -n '/^| setting/,$p' docs/SETTINGS.md) <($bin/app_catkinmoord/catkinmoord --settings-reference)
fi
for file in examples/documents/*.json; do
  $bin/app_catkinctl/catkinctl validate "$file"
done
$bin/app_catkinmoord/catkinmoord --check-settings --settings examples/catkinmoord.json
$bin/app_catkin_target/catkin_target --check-settings --settings examples/catkin_target.json
echo "docs: match"
