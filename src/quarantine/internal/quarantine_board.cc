#include "quarantine/quarantine_board.h"

#include <cstdio>

#include "framework/base/digest.h"

namespace catkinmoor {

bool quarantine_board::Note(const crash_report& report, time_point now) {
  return entries_.With(report.fingerprint, [&](auto& entries) {
    entry& held = entries[report.fingerprint];
    if (!held.seen.emplace(report.reporter, report.number).second) return false;
    held.crashes = report.released ? 0 : held.crashes + 1;
    held.last = now;
    return true;
  });
}

bool quarantine_board::OnSuccess(const std::string& fingerprint) {
  return entries_.With(fingerprint, [&](auto& entries) {
    const auto found = entries.find(fingerprint);
    if (found == entries.end() || found->second.crashes == 0) return false;
    if (found->second.crashes >= kCrashes) return false;
    found->second.crashes = 0;
    return true;
  });
}

bool quarantine_board::IsQuarantined(const std::string& fingerprint, time_point now) {
  return entries_.With(fingerprint, [&](auto& entries) {
    const auto found = entries.find(fingerprint);
    return found != entries.end() && found->second.crashes >= kCrashes &&
           now - found->second.last < kRetention;
  });
}

std::vector<quarantine_entry> quarantine_board::All(time_point now) {
  std::vector<quarantine_entry> all;
  entries_.ForEachShard([&](auto& entries) {
    for (const auto& [fingerprint, held] : entries) {
      const bool refused = held.crashes >= kCrashes && now - held.last < kRetention;
      if (refused) all.push_back({fingerprint, held.crashes});
    }
  });
  return all;
}

void quarantine_board::Expire(time_point now) {
  entries_.ForEachShard([&](auto& entries) {
    std::erase_if(entries, [&](const auto& each) { return now - each.second.last >= kRetention; });
  });
}

std::string Fingerprint(const std::string& service, const std::string& method,
                        const std::string& target, const std::string& body) {
  const std::string whole = service + "\n" + method + "\n" + target + "\n" + body;
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(StableHash(whole)));
  return text;
}

}  // namespace catkinmoor
