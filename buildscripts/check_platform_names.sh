#!/usr/bin/env bash
# Checks that nothing outside platform/ and deploy/ names a header, path, table or field of the users'
# platform.
set -euo pipefail
cd "$(dirname "$0")/.."
names='rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|Server-(Limit|Leaving)|Store-Era|X-(Server-Signature|Expect-Instance|Not-Executed|Caller-Service|Deadline-Ms|Instance-Id|Server-Load)|coldRemaining|heartbeatAddr|trafficSplit|entryKind|targetLatency|maxAttempts|schemaVersion|expectedRev|tombstone|CATKINMOOR_NODE_FILE'
if git grep -n -E "$names" -- src examples buildscripts ':!buildscripts/check_platform_names.sh'; then
  echo "names of the platform outside platform/"
  exit 1
fi
echo "platform names: kept to platform/"
