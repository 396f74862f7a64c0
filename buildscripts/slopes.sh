#!/usr/bin/env bash
# Fits figure = a + b * log2(daemons) and figure = a + b * daemons to the lines that
# `experiment.sh rest` printed for several sizes, and prints both with their largest error.
#
#   for n in 2 6 12 24; do buildscripts/experiment.sh rest tree $n; done | buildscripts/slopes.sh
set -euo pipefail
awk '
function field(name,   at) {
  at = match($0, "\"" name "\":[0-9.]+")
  return at ? substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3) : ""
}
function fit(name, kind,   i, x, sx, sy, sxx, sxy, b, a, worst, e) {
  sx = sy = sxx = sxy = worst = 0
  for (i = 1; i <= count; ++i) {
    x = kind == "log2" ? log(size[i]) / log(2) : size[i]
    sx += x; sy += value[name, i]; sxx += x * x; sxy += x * value[name, i]
  }
  b = (count * sxy - sx * sy) / (count * sxx - sx * sx)
  a = (sy - b * sx) / count
  for (i = 1; i <= count; ++i) {
    x = kind == "log2" ? log(size[i]) / log(2) : size[i]
    e = a + b * x - value[name, i]
    if (e < 0) e = -e
    if (e > worst) worst = e
  }
  printf "%-30s %-6s a %12.5f  b %12.6f  largest error %.5f\n", name, kind, a, b, worst
}
BEGIN { split("wire_bytes_per_daemon_s wire_bytes_per_daemon_change core_share_per_daemon resident_mb", names, " ") }
/"wire_bytes_per_daemon_s"/ {
  size[++count] = field("daemons")
  for (n in names) value[names[n], count] = field(names[n])
}
END {
  if (count < 2) { print "needs two sizes or more"; exit 1 }
  for (n = 1; n <= 4; ++n) { fit(names[n], "log2"); fit(names[n], "linear") }
}'
