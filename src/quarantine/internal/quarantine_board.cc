#include "quarantine/quarantine_board.h"

#include <cstdio>

#include "framework/base/digest.h"

namespace catkinmoor {

bool quarantine_board::Record(const crash_report& report, time_point now) {
  return entries_.WithShard(report.fingerprint, [&](auto& entries) {
    entry& record = entries[report.fingerprint];
    if (!record.reports.emplace(report.reporter, report.sequence).second) return false;
    record.crashes = report.released ? 0 : record.crashes + 1;
    record.last_report_at = now;
    return true;
  });
}

bool quarantine_board::OnResponse(const std::string& fingerprint) {
  return entries_.WithShard(fingerprint, [&](auto& entries) {
    const auto found = entries.find(fingerprint);
    if (found == entries.end() || found->second.crashes == 0) return false;
    if (found->second.crashes >= kCrashThreshold) return false;
    found->second.crashes = 0;
    return true;
  });
}

bool quarantine_board::IsQuarantined(const std::string& fingerprint, time_point now) {
  return entries_.WithShard(fingerprint, [&](auto& entries) {
    const auto found = entries.find(fingerprint);
    return found != entries.end() && found->second.crashes >= kCrashThreshold &&
           now - found->second.last_report_at < kRetention;
  });
}

std::vector<quarantine_entry> quarantine_board::Quarantined(time_point now) {
  std::vector<quarantine_entry> all;
  entries_.ForEachShard([&](auto& entries) {
    for (const auto& [fingerprint, record] : entries) {
      const bool quarantined =
          record.crashes >= kCrashThreshold && now - record.last_report_at < kRetention;
      if (quarantined) all.push_back({fingerprint, record.crashes});
    }
  });
  return all;
}

void quarantine_board::Expire(time_point now) {
  entries_.ForEachShard([&](auto& entries) {
    std::erase_if(entries,
                  [&](const auto& each) { return now - each.second.last_report_at >= kRetention; });
  });
}

std::string RequestFingerprint(const std::string& service, const std::string& method,
                               const std::string& target, const std::string& body) {
  const std::string input = service + "\n" + method + "\n" + target + "\n" + body;
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(StableHash(input)));
  return text;
}

}  // namespace catkinmoor
